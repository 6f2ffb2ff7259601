#include "load_run.h"

#include "run_record.h"

#include <algorithm>
#include <thread>

namespace sardinespoke {

namespace {

// Requests that wait for a free caller, per service. More would only measure this tool.
constexpr size_t kMaxWaiting = 10000;
// Longest sleep of the generator, so that it follows the changes of the rate.
constexpr std::chrono::milliseconds kGeneratorStep{ 10 };

uint64_t
CountOf(const std::array<uint64_t, static_cast<size_t>(HistoryType::Count)>& aEnds,
        HistoryType aType)
{
  return aEnds.at(static_cast<size_t>(aType));
}

}

LoadRun::LoadRun(LoadSettings aSettings, HistoryWriter& aHistory)
  : settings_(std::move(aSettings))
  , history_(aHistory)
  , client_(settings_.client_)
  , noncePrefix_(std::to_string(settings_.seed_) + "-" + std::to_string(NowUs()) + "-")
{
  for (const std::string& name : settings_.services_) {
    Service& service = services_.emplace_back();
    service.name_ = name;
    service.index_ = static_cast<uint32_t>(services_.size() - 1);
  }
}

nlohmann::json
LoadRun::Run()
{
  start_ = Clock::now();
  end_ = start_ + settings_.duration_;
  std::vector<std::thread> threads;
  for (Service& service : services_) {
    if (settings_.rate_ > 0) {
      threads.emplace_back([this, &service] { Generate(service); });
    }
    for (uint32_t i = 0; i < settings_.callers_; ++i) {
      const uint64_t seed = settings_.seed_ * 1000003 + service.index_ * 1009 + i;
      threads.emplace_back([this, &service, seed] { CallLoop(service, seed); });
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return Summary(std::chrono::duration<double>(Clock::now() - start_).count());
}

void
LoadRun::Generate(Service& aService)
{
  CallerClient::Random random(settings_.seed_ * 7919 + aService.index_);
  std::exponential_distribution<double> unit(1.0);
  const auto services = static_cast<uint32_t>(services_.size());
  Clock::time_point now = start_;
  double wanted = unit(random); // Of the area under the rate until the next arrival.
  while (now < end_) {
    const auto sinceStart = std::chrono::duration_cast<std::chrono::microseconds>(now - start_);
    const double rate =
      settings_.rate_ * settings_.shape_.RateFactor(sinceStart, aService.index_, services);
    const std::chrono::duration<double> untilNext(wanted / rate);
    if (untilNext > kGeneratorStep) {
      wanted -= rate * std::chrono::duration<double>(kGeneratorStep).count();
      now += kGeneratorStep;
      std::this_thread::sleep_until(now);
      continue;
    }
    now += std::chrono::duration_cast<Clock::duration>(untilNext);
    wanted = unit(random);
    std::this_thread::sleep_until(now);
    {
      const std::lock_guard lock(aService.mutex_);
      if (aService.queue_.size() >= kMaxWaiting) {
        ++aService.shed_;
        continue;
      }
      aService.queue_.push_back(now);
    }
    aService.due_.notify_one();
  }
  const std::lock_guard lock(aService.mutex_);
  aService.closed_ = true;
  aService.due_.notify_all();
}

bool
LoadRun::NextDue(Service& aService, Clock::time_point& aDue)
{
  if (settings_.rate_ <= 0) {
    aDue = Clock::now();
    return aDue < end_;
  }
  std::unique_lock lock(aService.mutex_);
  aService.due_.wait(lock, [&] { return aService.closed_ || !aService.queue_.empty(); });
  if (Clock::now() >= end_) {
    // What is still waiting at the end is not sent, so that the tool stops in time.
    aService.shed_ += aService.queue_.size();
    aService.queue_.clear();
  }
  if (aService.queue_.empty()) {
    return false;
  }
  aDue = aService.queue_.front();
  aService.queue_.pop_front();
  return true;
}

bool
LoadRun::TakeBudget()
{
  return requests_.fetch_add(1) < settings_.maxRequests_;
}

void
LoadRun::CallLoop(Service& aService, uint64_t aSeed)
{
  CallerClient::Random random(aSeed);
  Clock::time_point due;
  while (NextDue(aService, due) && TakeBudget()) {
    Send(aService, due, random);
  }
}

void
LoadRun::Send(Service& aService, Clock::time_point aDue, CallerClient::Random& aRandom)
{
  ClientRequest request;
  request.service_ = aService.name_;
  request.idempotent_ = !std::bernoulli_distribution(settings_.nonIdempotentShare_)(aRandom);
  request.runTime_ = settings_.shape_.RunTime(settings_.meanRunTime_, aRandom);
  request.responseBytes_ = settings_.responseBytes_;
  {
    const std::lock_guard lock(aService.mutex_);
    request.nonce_ =
      noncePrefix_ + std::to_string(aService.index_) + "-" + std::to_string(++aService.sent_);
  }
  HistoryLine invoke;
  invoke.nonce_ = request.nonce_;
  invoke.service_ = request.service_;
  invoke.idempotent_ = request.idempotent_;
  invoke.timeUs_ = NowUs();
  history_.Write(invoke);
  const HistoryLine end = client_.Call(request, aRandom);
  history_.Write(end);
  Account(aService, end, aDue);
}

void
LoadRun::Account(Service& aService, const HistoryLine& aEnd, Clock::time_point aDue)
{
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - aDue);
  const std::lock_guard lock(aService.mutex_);
  ++aService.ends_.at(static_cast<size_t>(aEnd.type_));
  aService.retried_ += aEnd.tries_ > 1 ? 1 : 0;
  if (aEnd.type_ == HistoryType::Ok) {
    aService.latency_.Add(latency.count());
    aService.wrongAnswers_ += aEnd.answer_ == ResponseCheck::Right ? 0 : 1;
  }
}

nlohmann::json
LoadRun::Summary(double aSeconds)
{
  nlohmann::json services = nlohmann::json::object();
  uint64_t sent = 0;
  uint64_t wrong = 0;
  uint64_t shed = 0;
  std::array<uint64_t, kEnds> ends{};
  for (Service& service : services_) {
    sent += service.sent_;
    wrong += service.wrongAnswers_;
    shed += service.shed_;
    std::transform(
      ends.begin(), ends.end(), service.ends_.begin(), ends.begin(), std::plus<uint64_t>());
    services[service.name_] = {
      { "sent", service.sent_ },
      { "ok", CountOf(service.ends_, HistoryType::Ok) },
      { "not_run", CountOf(service.ends_, HistoryType::NotRun) },
      { "unknown", CountOf(service.ends_, HistoryType::Unknown) },
      { "already_run", CountOf(service.ends_, HistoryType::AlreadyRun) },
      { "retried", service.retried_ },
      { "shed", service.shed_ },
      { "p50_ms", service.latency_.Percentile(0.5) },
      { "p99_ms", service.latency_.Percentile(0.99) },
      { "p999_ms", service.latency_.Percentile(0.999) },
    };
  }
  return { { "seed", settings_.seed_ },
           { "shape", settings_.shape_.name_ },
           { "seconds", aSeconds },
           { "sent", sent },
           { "ok", CountOf(ends, HistoryType::Ok) },
           { "not_run", CountOf(ends, HistoryType::NotRun) },
           { "unknown", CountOf(ends, HistoryType::Unknown) },
           { "already_run", CountOf(ends, HistoryType::AlreadyRun) },
           { "wrong_answers", wrong },
           { "shed", shed },
           { "connections_opened", client_.ConnectionsOpened() },
           { "services", services } };
}

}
