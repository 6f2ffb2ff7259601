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

/// Size and addresses of a BackendServer.
struct BackendServerSettings
{
  std::string ip_ = "127.0.0.1";
  uint16_t basePort_ = 0; ///< Worker N listens on basePort_ + N; 0 picks free ports.
  uint16_t controlPort_ = 0;
  uint32_t workers_ = 1;
  uint32_t slots_ = 8;
  uint32_t connections_ = 64;
  size_t maxRuns_ = 2'000'000;
};

/// Stand-in for many backend servers in one process.
///
/// The control port has `GET /record?from=N&limit=N` for the recorded runs, `POST
/// /faults?worker=N&fault=NAME` to set a fault (of all workers if `worker` is absent), `GET
/// /workers` for addresses and totals, and `GET /healthz`.
class BackendServer
{
public:
  explicit BackendServer(BackendServerSettings aSettings);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  /// Starts the workers and the control server.
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
  /// A response of the control port.
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
  // Declared before timer_, hence destroyed after it: the timer's thread may use a worker until
  // the thread has ended.
  std::vector<std::unique_ptr<BackendWorker>> workers_;
  std::unique_ptr<DelayTimer> timer_;
  MHD_Daemon* control_ = nullptr;
};

}
