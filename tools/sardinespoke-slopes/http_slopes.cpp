#include "many_servers.h"
#include "slope.h"
#include "slope_groups.h"

#include "sardinespoke/http_multi.h"

#include <algorithm>
#include <ctime>
#include <thread>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr uint32_t kConnectionsPerServer = 3;
constexpr uint32_t kCalls = 2000;
// libcurl looks for dead connections once a second.
constexpr milliseconds kPruneInterval{ 1050 };

double
ThreadCpuMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/// A client with open connections to many servers.
class HttpRig
{
public:
  explicit HttpRig(uint32_t aServers)
    : serverCount_(aServers)
  {
    CallEach(aServers, kConnectionsPerServer);
  }

  /// Calls each of the first servers that many times at once.
  void CallEach(uint32_t aServers, uint32_t aTimes)
  {
    for (uint32_t server = 0; server < aServers; ++server) {
      for (uint32_t time = 0; time < aTimes; ++time) {
        Send(server);
      }
    }
    Drain(0);
  }

  /// @returns Processor time of a call in microseconds.
  /// @param aAtOnce Calls in flight.
  double CallCost(uint32_t aAtOnce)
  {
    const double begin = ThreadCpuMicroseconds();
    for (uint32_t call = 0; call < kCalls; ++call) {
      Send(call % serverCount_);
      Drain(aAtOnce - 1);
    }
    Drain(0);
    return (ThreadCpuMicroseconds() - begin) / kCalls;
  }

  /// @returns Processor time in microseconds of the calls after half of the servers closed their
  /// connections.
  double CloseCost()
  {
    servers_.CloseBelow(serverCount_ / 2);
    std::this_thread::sleep_for(kPruneInterval);
    const double begin = ThreadCpuMicroseconds();
    Send(serverCount_ - 1);
    Drain(0);
    return ThreadCpuMicroseconds() - begin;
  }

private:
  void Send(uint32_t aServer)
  {
    HttpCall call;
    call.method_ = "POST";
    call.authority_ = servers_.Address(aServer);
    call.target_ = "/hold";
    call.body_ = "{}";
    call.maxConnections_ = kConnectionsPerServer;
    ++open_;
    http_.Send(std::move(call), [this](const HttpReply&) { --open_; });
  }

  void Drain(uint32_t aLeft)
  {
    while (open_ > aLeft) {
      http_.Run(milliseconds(10));
    }
  }

  const uint32_t serverCount_;
  ManyServers servers_;
  HttpMulti http_;
  uint32_t open_ = 0;
};

}

void
MeasureHttpCalls(std::ostream& aOut)
{
  SlopeSeries alone{ "http.call_alone", "servers", "cpu us", {} };
  SlopeSeries together{ "http.call_of_50", "servers", "cpu us", {} };
  SlopeSeries closed{ "http.half_closed", "servers", "cpu us", {} };
  for (const uint32_t servers : { 17U, 50U, 167U, 540U, 1667U }) {
    HttpRig rig(servers);
    alone.points_.emplace_back(servers, rig.CallCost(1));
    together.points_.emplace_back(servers, rig.CallCost(50));
    closed.points_.emplace_back(servers, rig.CloseCost());
  }
  WriteSlope(aOut, alone);
  WriteSlope(aOut, together);
  WriteSlope(aOut, closed);
}

}
