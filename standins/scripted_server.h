#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace sardinespoke {

/// A TCP server that sends scripted replies, for failures that an HTTP library cannot produce.
/// Serves one connection at a time; each request with its body must arrive in one segment.
class ScriptedServer
{
public:
  /// @param aReplies Bytes sent for each request in turn. An empty reply closes the connection, as
  /// does every request after the last reply.
  explicit ScriptedServer(std::vector<std::string> aReplies);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  /// @returns A complete HTTP response that keeps the connection open.
  static std::string Reply(int aStatus, const std::string& aBody);

  std::string Url() const;
  size_t Requests() const { return requests_; }

private:
  void Run();
  void ServeConnection(int aConnection);

  const std::vector<std::string> replies_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<size_t> requests_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

}
