#pragma once

#include "backend_worker.h"
#include "delay_timer.h"
#include "run_record.h"

#include <microhttpd.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sardinespoke {

/// Size and addresses of the stand-in.
struct BackendServerSettings
{
  std::string ip_ = "127.0.0.1";
  uint16_t basePort_ = 0; ///< Worker N listens on basePort_ + N; 0 lets the system choose.
  uint16_t controlPort_ = 0;
  uint32_t workers_ = 1;
  uint32_t slots_ = 8;
  uint32_t connections_ = 64;
  size_t maxRuns_ = 2'000'000;
};

/// Stand-in for many backend servers in one process.
///
/// HandleControl port: `GET /record?from=N&limit=N` lists what was run, `POST
/// /faults?worker=N&fault=NAME` switches a fault (all workers without `worker`), `GET /workers`
/// lists addresses and totals, `GET /healthz`.
class BackendServer
{
public:
  explicit BackendServer(BackendServerSettings aSettings);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  /// @returns Whether all ports could be opened.
  bool Init();
  void Shutdown();

  /// @param aWorker Worker number; kAllWorkers for all.
  /// @returns Whether the worker exists.
  bool SetFault(uint32_t aWorker, BackendFault aFault);

  std::string WorkerAddress(uint32_t aWorker) const { return workers_.at(aWorker)->Address(); }
  std::string ControlAddress() const;
  const RunRecord& Record() const { return record_; }

  static constexpr uint32_t kAllWorkers = UINT32_MAX;

private:
  /// An answer of the control port.
  struct ControlResponse
  {
    unsigned int status_ = 0;
    nlohmann::json body_;
  };

  static MHD_Result OnAccess(void* aSelf,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aData,
                             size_t* aDataSize,
                             void** aSeen);

  ControlResponse HandleControl(MHD_Connection* aConnection, const std::string& aPath);
  ControlResponse ListRuns(MHD_Connection* aConnection) const;
  ControlResponse ListWorkers() const;
  ControlResponse HandleFault(MHD_Connection* aConnection);

  BackendServerSettings settings_;
  RunRecord record_;
  // Declared before timer_: the timer's thread may use a worker until it has ended.
  std::vector<std::unique_ptr<BackendWorker>> workers_;
  std::unique_ptr<DelayTimer> timer_;
  MHD_Daemon* control_ = nullptr;
};

}
