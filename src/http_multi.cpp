#include "sardinespoke/http_multi.h"

#include "http_shard_p.h"
#include "http_transfer_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <new>
#include <system_error>

namespace sardinespoke {

namespace {

constexpr long kKeptConnections = 4096;
// Two descriptors each, which libcurl opens to wake it up.
constexpr size_t kShards = 128;
constexpr size_t kMaxIdleHandles = 64;
// Events fetched by one epoll_wait(); the rest is fetched by the next.
constexpr size_t kMaxEventsPerWait = 128;
// Other responses take tenths of a millisecond each; the store answers within 4 ms.
constexpr int kEventsBetweenUrgent = 16;

}

struct HttpMulti::AuthorityQueue
{
  uint32_t active_ = 0;
  std::deque<std::unique_ptr<Transfer>> waiting_;
};

HttpMulti::Shard::Shard(HttpMulti& aOwner)
  : owner_(aOwner)
  , multi_(curl_multi_init())
{
  if (!multi_) {
    throw std::bad_alloc();
  }
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kKeptConnections);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &HttpMulti::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &HttpMulti::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
}

HttpMulti::HttpMulti()
  : shards_(kShards)
{
  epollFd_ = epoll_create1(EPOLL_CLOEXEC);
  urgentEpollFd_ = epoll_create1(EPOLL_CLOEXEC);
  wakeFd_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK); // NOLINT(hicpp-signed-bitwise)
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = wakeFd_;
  epoll_event urgent{};
  urgent.events = EPOLLIN;
  urgent.data.fd = urgentEpollFd_;
  if (epollFd_ < 0 || urgentEpollFd_ < 0 || wakeFd_ < 0 ||
      epoll_ctl(epollFd_, EPOLL_CTL_ADD, wakeFd_, &event) != 0 ||
      epoll_ctl(epollFd_, EPOLL_CTL_ADD, urgentEpollFd_, &urgent) != 0) {
    throw std::system_error(errno, std::generic_category(), "HTTP client");
  }
}

HttpMulti::~HttpMulti()
{
  for (auto& [key, transfer] : active_) {
    curl_multi_remove_handle(transfer->shard_->multi_, transfer->easy_);
    curl_easy_cleanup(transfer->easy_);
    curl_slist_free_all(transfer->headers_);
  }
  for (void* easy : idleHandles_) {
    curl_easy_cleanup(static_cast<CURL*>(easy));
  }
  shards_.clear();
  close(wakeFd_);
  close(urgentEpollFd_);
  close(epollFd_);
}

HttpMulti::Shard&
HttpMulti::ShardOf(const std::string& aAuthority)
{
  std::unique_ptr<Shard>& shard = shards_[std::hash<std::string>()(aAuthority) % kShards];
  if (!shard) {
    shard = std::make_unique<Shard>(*this);
  }
  return *shard;
}

int
HttpMulti::OnSocket(void* aEasy, int aSocket, int aWhat, void* aShard, void*)
{
  auto* shard = static_cast<Shard*>(aShard);
  HttpMulti* self = &shard->owner_;
  Transfer* transfer = nullptr;
  curl_easy_getinfo(static_cast<CURL*>(aEasy), CURLINFO_PRIVATE, &transfer);
  if (transfer) {
    transfer->socket_ = aWhat == CURL_POLL_REMOVE ? -1 : aSocket;
  }
  if (aWhat == CURL_POLL_REMOVE) {
    // Stays in the epoll set, since most connections are reused soon.
    self->sockets_[aSocket].inUse_ = false;
    return 0;
  }
  const uint32_t in = aWhat != CURL_POLL_OUT ? uint32_t{ EPOLLIN } : 0U;
  const uint32_t out = aWhat != CURL_POLL_IN ? uint32_t{ EPOLLOUT } : 0U;
  self->WatchSocket(aSocket, in | out, transfer && transfer->call_.urgent_);
  self->sockets_[aSocket].shard_ = shard;
  if (transfer) {
    self->sockets_[aSocket].authority_ = transfer->call_.authority_;
  }
  return 0;
}

void
HttpMulti::WatchSocket(int aSocket, uint32_t aEvents, bool aUrgent)
{
  SocketState& watched = sockets_[aSocket];
  watched.inUse_ = aEvents != 0;
  if (watched.registered_ != 0 && watched.urgent_ != aUrgent) {
    WatchSocket(aSocket, 0, watched.urgent_);
    watched.inUse_ = aEvents != 0;
  }
  watched.urgent_ = aUrgent;
  if (watched.registered_ == aEvents) {
    return;
  }
  epoll_event event{};
  event.events = aEvents;
  event.data.fd = aSocket;
  const int operation = aEvents == 0               ? EPOLL_CTL_DEL
                        : watched.registered_ == 0 ? EPOLL_CTL_ADD
                                                   : EPOLL_CTL_MOD;
  if (epoll_ctl(aUrgent ? urgentEpollFd_ : epollFd_, operation, aSocket, &event) != 0) {
    Log(LogLevel::Error, "http.socket_unwatched", { { "errno", errno } });
  }
  watched.registered_ = aEvents;
}

int
HttpMulti::OnClose(void* aSelf, int aSocket)
{
  static_cast<HttpMulti*>(aSelf)->sockets_.erase(aSocket);
  return close(aSocket);
}

int
HttpMulti::OnTimer(void*, long aMilliseconds, void* aShard)
{
  auto* shard = static_cast<Shard*>(aShard);
  auto& timers = shard->owner_.timers_;
  if (shard->timer_) {
    timers.erase({ *shard->timer_, shard });
    shard->timer_.reset();
  }
  if (aMilliseconds >= 0) {
    shard->timer_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(aMilliseconds);
    timers.emplace(*shard->timer_, shard);
  }
  return 0;
}

std::optional<std::chrono::milliseconds>
HttpMulti::TimeUntilTimer() const
{
  if (timers_.empty()) {
    return std::nullopt;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first -
                                                                 std::chrono::steady_clock::now());
  return std::max(left, std::chrono::milliseconds(0));
}

void
HttpMulti::RunShard(Shard& aShard, int aSocket, int aEvents)
{
  if (!aShard.hasRun_) {
    aShard.hasRun_ = true;
    ranShards_.push_back(&aShard);
  }
  int running = 0;
  curl_multi_socket_action(aShard.multi_, aSocket, aEvents, &running);
}

void
HttpMulti::ProcessSocket(int aSocket, uint32_t aEvents)
{
  const auto watched = sockets_.find(aSocket);
  if (watched == sockets_.end()) {
    return; // Closed while handling an earlier event.
  }
  if (!watched->second.inUse_) {
    WatchSocket(aSocket, 0, watched->second.urgent_); // The server closed an idle connection.
    return;
  }
  const unsigned int readable = (aEvents & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0;
  if (readable != 0) {
    watched->second.heardAt_ = std::chrono::steady_clock::now();
  }
  const unsigned int writable = (aEvents & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
  const unsigned int broken = (aEvents & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0;
  RunShard(*watched->second.shard_, aSocket, static_cast<int>(readable | writable | broken));
}

void
HttpMulti::ProcessUrgentSockets()
{
  std::array<epoll_event, kMaxEventsPerWait> events{};
  const int count = epoll_wait(urgentEpollFd_, events.data(), static_cast<int>(events.size()), 0);
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events[static_cast<size_t>(index)];
    ProcessSocket(event.data.fd, event.events);
  }
}

bool
HttpMulti::ProcessTimers()
{
  const auto now = std::chrono::steady_clock::now();
  bool wasDue = false;
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Shard& shard = *timers_.begin()->second;
    timers_.erase(timers_.begin());
    shard.timer_.reset();
    RunShard(shard, CURL_SOCKET_TIMEOUT, 0);
    wasDue = true;
  }
  return wasDue;
}

void
HttpMulti::ProcessSockets(std::chrono::milliseconds aWait)
{
  // Sends new calls before the responses that are ready take their time. It may also end calls,
  // whose callbacks must not wait.
  auto wait = ProcessTimers() ? std::chrono::milliseconds(0) : aWait;
  wait = TimeUntilDue(wait);
  std::array<epoll_event, kMaxEventsPerWait> events{};
  const auto waitBegin = std::chrono::steady_clock::now();
  const int count = epoll_wait(
    epollFd_, events.data(), static_cast<int>(events.size()), static_cast<int>(wait.count()));
  load_.busy_ -= std::chrono::steady_clock::now() - waitBegin;
  ServeUrgentCalls();
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events[static_cast<size_t>(index)];
    if (index > 0 && index % kEventsBetweenUrgent == 0) {
      ServeUrgentCalls();
    }
    if (event.data.fd == wakeFd_) {
      uint64_t wakes = 0;
      // A failed read means that the wake-ups were already consumed.
      [[maybe_unused]] const ssize_t got = read(wakeFd_, &wakes, sizeof(wakes));
      continue;
    }
    if (event.data.fd != urgentEpollFd_) {
      ProcessSocket(event.data.fd, event.events);
    }
  }
  ServeUrgentCalls();
}

void
HttpMulti::ServeUrgentCalls()
{
  ProcessUrgentSockets();
  // Runs the callbacks, which may send the next urgent call, and sends it.
  FinishCompletedTransfers();
  ProcessTimers();
}

std::chrono::milliseconds
HttpMulti::TimeUntilDue(std::chrono::milliseconds aWait) const
{
  std::chrono::milliseconds wait = std::min(aWait, TimeUntilTimer().value_or(aWait));
  if (!deadlines_.empty()) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      deadlines_.begin()->first - std::chrono::steady_clock::now());
    wait = std::clamp(left, std::chrono::milliseconds(0), wait);
  }
  return wait;
}

void
HttpMulti::SetDeadline(Transfer& aTransfer, std::chrono::milliseconds aFromNow)
{
  deadlines_.erase({ aTransfer.deadline_, &aTransfer });
  aTransfer.deadline_ = std::chrono::steady_clock::now() + aFromNow;
  deadlines_.emplace(aTransfer.deadline_, &aTransfer);
}

void
HttpMulti::ReadDueTransfers(std::chrono::steady_clock::time_point aNow)
{
  std::vector<pollfd> due;
  for (const auto& [deadline, transfer] : deadlines_) {
    if (deadline > aNow) {
      break;
    }
    const auto watched = sockets_.find(transfer->socket_);
    if (watched == sockets_.end()) {
      continue;
    }
    const auto events = static_cast<short>(watched->second.registered_ & (EPOLLIN | EPOLLOUT));
    due.push_back(pollfd{ transfer->socket_, events, 0 });
  }
  if (due.empty() || poll(due.data(), due.size(), 0) <= 0) {
    return;
  }
  for (const pollfd& ready : due) {
    if (ready.revents != 0) {
      ProcessSocket(ready.fd, static_cast<uint32_t>(ready.revents));
    }
  }
}

void
HttpMulti::FinishCompletedTransfers()
{
  std::vector<std::pair<Transfer*, int>> ended;
  for (Shard* shard : std::exchange(ranShards_, {})) {
    shard->hasRun_ = false;
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(shard->multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      ended.emplace_back(transfer, message->data.result);
    }
  }
  for (const auto& [transfer, code] : ended) {
    FinishTransfer(*transfer, code);
  }
}

void
HttpMulti::EndDueTransfers(std::chrono::steady_clock::time_point aNow)
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= aNow) {
    Transfer& late = *deadlines_.begin()->second;
    if (late.call_.closeIdleOnTimeout_ && late.WasSent()) {
      CloseIdle(late.call_.authority_, late.sentAt_);
    }
    FinishTransfer(late, CURLE_OPERATION_TIMEDOUT);
  }
}

void
HttpMulti::CloseIdle(const std::string& aAuthority,
                     std::chrono::steady_clock::time_point aNotHeardSince)
{
  size_t closed = 0;
  for (const auto& [socket, state] : sockets_) {
    if (state.inUse_ || state.authority_ != aAuthority || state.heardAt_ >= aNotHeardSince) {
      continue;
    }
    // libcurl discards a kept connection that is at its end when it looks for one to reuse.
    shutdown(socket, SHUT_RDWR);
    ++closed;
  }
  if (closed > 0) {
    Log(LogLevel::Info,
        "http.idle_closed",
        { { "authority", aAuthority }, { "connections", closed } });
  }
}

void
HttpMulti::Send(HttpCall aCall, Done aDone)
{
  auto transfer = std::make_unique<Transfer>();
  transfer->call_ = std::move(aCall);
  transfer->done_ = std::move(aDone);
  transfer->owner_ = this;
  AuthorityQueue& lane = authorityQueues_[transfer->call_.authority_];
  if (lane.active_ >= transfer->call_.maxConnections_) {
    const auto place = transfer->call_.first_ ? lane.waiting_.begin() : lane.waiting_.end();
    lane.waiting_.insert(place, std::move(transfer));
    return;
  }
  StartTransfer(std::move(transfer));
}

void
HttpMulti::StartTransfer(std::unique_ptr<Transfer> aTransfer)
{
  Transfer& transfer = *aTransfer;
  ++authorityQueues_[transfer.call_.authority_].active_;
  if (idleHandles_.empty()) {
    transfer.easy_ = curl_easy_init();
  } else {
    transfer.easy_ = static_cast<CURL*>(idleHandles_.back());
    idleHandles_.pop_back();
    curl_easy_reset(transfer.easy_);
  }
  transfer.SetOptions();
  SetDeadline(transfer, Transfer::kConnectTimeout);
  transfer.shard_ = &ShardOf(transfer.call_.authority_);
  active_.emplace(&transfer, std::move(aTransfer));
  curl_multi_add_handle(transfer.shard_->multi_, transfer.easy_);
}

void
HttpMulti::FinishTransfer(Transfer& aTransfer, int aCode)
{
  const auto found = active_.find(&aTransfer);
  const std::unique_ptr<Transfer> transfer = std::move(found->second);
  active_.erase(found);
  deadlines_.erase({ transfer->deadline_, transfer.get() });
  HttpReply reply;
  if (aCode == CURLE_OK) {
    reply.outcome_ = HttpOutcome::Answered;
    curl_easy_getinfo(transfer->easy_, CURLINFO_RESPONSE_CODE, &reply.status_);
    reply.body_ = std::move(transfer->body_);
  } else {
    reply.outcome_ = transfer->WasSent() ? HttpOutcome::Unknown : HttpOutcome::NotSent;
  }
  curl_multi_remove_handle(transfer->shard_->multi_, transfer->easy_);
  curl_slist_free_all(transfer->headers_);
  if (idleHandles_.size() < kMaxIdleHandles) {
    idleHandles_.push_back(transfer->easy_);
  } else {
    curl_easy_cleanup(transfer->easy_);
  }
  const std::string authority = transfer->call_.authority_;
  --authorityQueues_[authority].active_;
  StartNextTransfer(authority);
  const auto begin = std::chrono::steady_clock::now();
  transfer->done_(reply);
  load_.callbacks_ += std::chrono::steady_clock::now() - begin;
  ++load_.calls_;
}

void
HttpMulti::StartNextTransfer(const std::string& aAuthority)
{
  const auto found = authorityQueues_.find(aAuthority);
  AuthorityQueue& lane = found->second;
  if (lane.waiting_.empty()) {
    if (lane.active_ == 0) {
      authorityQueues_.erase(found);
    }
    return;
  }
  std::unique_ptr<Transfer> next = std::move(lane.waiting_.front());
  lane.waiting_.pop_front();
  StartTransfer(std::move(next));
}

void
HttpMulti::Run(std::chrono::milliseconds aWait)
{
  const auto begin = std::chrono::steady_clock::now();
  const auto busyBefore = load_.busy_;
  ProcessSockets(aWait);
  // libcurl would end a call at its timeout even if the response has arrived; it is given none.
  const auto now = std::chrono::steady_clock::now();
  ReadDueTransfers(now);
  FinishCompletedTransfers();
  EndDueTransfers(now);
  load_.busy_ += std::chrono::steady_clock::now() - begin;
  load_.longestRun_ = std::max(load_.longestRun_, load_.busy_ - busyBefore);
}

void
HttpMulti::Wake()
{
  const uint64_t one = 1;
  // A failed write means that the counter is full, which wakes up Run() as well.
  [[maybe_unused]] const ssize_t put = write(wakeFd_, &one, sizeof(one));
}

}
