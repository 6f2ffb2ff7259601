#include "sardinespoke/http_multi.h"

#include "sardinespoke/logging.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <new>
#include <system_error>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 400 };
// Keep-alive probes close an idle connection that went silent; both in seconds, the shortest that
// TCP takes.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 1;
constexpr size_t kMaxResponseBytes = 8U << 20U;
constexpr long kKeptConnections = 4096;
constexpr size_t kMaxIdleHandles = 64;
// Events fetched by one epoll_wait(); the rest is fetched by the next.
constexpr size_t kMaxEventsPerWait = 128;
// Other responses take tenths of a millisecond each; the store answers within 4 ms.
constexpr int kEventsBetweenUrgent = 16;

}

struct HttpMulti::Transfer
{
  HttpMulti* owner_ = nullptr;
  HttpCall call_;
  Done done_;
  CURL* easy_ = nullptr;
  int socket_ = -1; ///< Watched for this call; -1 if there is none.
  std::chrono::steady_clock::time_point deadline_{};
  std::chrono::steady_clock::time_point sentAt_{};
  curl_slist* headers_ = nullptr;
  std::string body_;

  bool WasSent() const
  {
    long bytes = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes > 0;
  }

  static curl_socket_t OpenSocket(void* aSelf, curlsocktype, curl_sockaddr* aAddress)
  {
    auto* self = static_cast<Transfer*>(aSelf);
    if (self->WasSent()) {
      return CURL_SOCKET_BAD; // See OnPreRequest().
    }
    self->owner_->SetDeadline(*self, kConnectTimeout);
    const int type = aAddress->socktype | SOCK_CLOEXEC; // NOLINT(hicpp-signed-bitwise)
    const int opened = socket(aAddress->family, type, aAddress->protocol);
    if (opened >= 0) {
      EnableKeepAlive(opened);
    }
    // libcurl closes a socket that is still connecting without OnClose(); epoll forgot it then.
    self->owner_->sockets_.erase(opened);
    return opened;
  }

  static void EnableKeepAlive(int aSocket)
  {
    const auto set = [aSocket](int aLevel, int aOption, int aValue) {
      if (setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue)) != 0) {
        Log(LogLevel::Warn, "http.option_refused", { { "option", aOption }, { "errno", errno } });
      }
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  }

  /// Begins the time limit of the response; refuses a second attempt, also over a kept connection.
  static int OnPreRequest(void* aSelf, char*, char*, int, int)
  {
    // libcurl resends a request over another connection if a persistent one breaks before the
    // response, but the server may already have processed the first.
    auto* self = static_cast<Transfer*>(aSelf);
    if (self->WasSent()) {
      return CURL_PREREQFUNC_ABORT;
    }
    self->sentAt_ = std::chrono::steady_clock::now();
    self->owner_->SetDeadline(*self, self->call_.timeout_);
    return CURL_PREREQFUNC_OK;
  }

  static size_t Receive(char* aData, size_t aSize, size_t aCount, void* aSelf)
  {
    auto* self = static_cast<Transfer*>(aSelf);
    if (self->body_.size() + aSize * aCount > kMaxResponseBytes) {
      return 0;
    }
    self->body_.append(aData, aSize * aCount);
    return aSize * aCount;
  }
};

struct HttpMulti::AuthorityQueue
{
  uint32_t active_ = 0;
  std::deque<std::unique_ptr<Transfer>> waiting_;
};

HttpMulti::HttpMulti()
  : multi_(curl_multi_init())
{
  if (!multi_) {
    throw std::bad_alloc();
  }
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
  auto* multi = static_cast<CURLM*>(multi_);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kKeptConnections);
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &HttpMulti::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &HttpMulti::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

HttpMulti::~HttpMulti()
{
  for (auto& [key, transfer] : active_) {
    curl_multi_remove_handle(static_cast<CURLM*>(multi_), transfer->easy_);
    curl_easy_cleanup(transfer->easy_);
    curl_slist_free_all(transfer->headers_);
  }
  for (void* easy : idleHandles_) {
    curl_easy_cleanup(static_cast<CURL*>(easy));
  }
  curl_multi_cleanup(static_cast<CURLM*>(multi_));
  close(wakeFd_);
  close(urgentEpollFd_);
  close(epollFd_);
}

int
HttpMulti::OnSocket(void* aEasy, int aSocket, int aWhat, void* aSelf, void*)
{
  auto* self = static_cast<HttpMulti*>(aSelf);
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
HttpMulti::OnTimer(void*, long aMilliseconds, void* aSelf)
{
  auto* self = static_cast<HttpMulti*>(aSelf);
  self->hasTimer_ = aMilliseconds >= 0;
  self->timer_ = std::chrono::steady_clock::now() + std::chrono::milliseconds(aMilliseconds);
  return 0;
}

std::chrono::milliseconds
HttpMulti::TimeUntilTimer() const
{
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(timer_ - std::chrono::steady_clock::now());
  return std::max(left, std::chrono::milliseconds(0));
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
  int running = 0;
  curl_multi_socket_action(
    static_cast<CURLM*>(multi_), aSocket, static_cast<int>(readable | writable | broken), &running);
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
HttpMulti::ProcessTimer()
{
  if (!hasTimer_ || TimeUntilTimer() > std::chrono::milliseconds(0)) {
    return false;
  }
  hasTimer_ = false;
  int running = 0;
  curl_multi_socket_action(static_cast<CURLM*>(multi_), CURL_SOCKET_TIMEOUT, 0, &running);
  return true;
}

void
HttpMulti::ProcessSockets(std::chrono::milliseconds aWait)
{
  // Sends new calls before the responses that are ready take their time. It may also end calls,
  // whose callbacks must not wait.
  auto wait = ProcessTimer() ? std::chrono::milliseconds(0) : aWait;
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
  ProcessTimer();
}

std::chrono::milliseconds
HttpMulti::TimeUntilDue(std::chrono::milliseconds aWait) const
{
  std::chrono::milliseconds wait = hasTimer_ ? std::min(aWait, TimeUntilTimer()) : aWait;
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
  int left = 0;
  std::vector<std::pair<Transfer*, int>> ended;
  while (const CURLMsg* message = curl_multi_info_read(static_cast<CURLM*>(multi_), &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    ended.emplace_back(transfer, message->data.result);
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
    lane.waiting_.push_back(std::move(transfer));
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
  CURL* easy = transfer.easy_;
  const HttpCall& call = transfer.call_;
  const auto addHeader = [&transfer](const char* aLine) {
    transfer.headers_ = curl_slist_append(transfer.headers_, aLine);
  };
  for (const std::string& line : call.headers_) {
    addHeader(line.c_str());
  }
  addHeader("Expect:");
  addHeader("Accept:");
  const std::string url = "http://" + call.authority_ + call.target_;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, long{ CURL_HTTP_VERSION_1_1 });
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Transfer::OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::OnPreRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &HttpMulti::OnClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::Receive);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  if (std::strcmp(call.method_, "GET") != 0) {
    addHeader("Content-Type: application/json");
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method_);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body_.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body_.size()));
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers_);
  SetDeadline(transfer, kConnectTimeout);
  active_.emplace(&transfer, std::move(aTransfer));
  curl_multi_add_handle(static_cast<CURLM*>(multi_), easy);
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
  curl_multi_remove_handle(static_cast<CURLM*>(multi_), transfer->easy_);
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
