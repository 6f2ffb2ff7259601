#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sardinespoke {

/// Response of a RawServer to one request.
struct RawReply
{
  std::string bytes_{};
  bool close_ = false;
  std::function<bool()> holdWhile_{}; ///< Polled; the reply is sent when it returns false.
  std::string extra_{};               ///< Sent after the reply, when extraWhile_ returns false.
  std::function<bool()> extraWhile_{};
};

/// A server on 127.0.0.1 that responds with arbitrary bytes, including invalid HTTP.
class RawServer
{
public:
  /// @param aIndex Index of the request over all connections, from 0.
  using Script = std::function<RawReply(const std::string& aRequest, size_t aIndex)>;

  explicit RawServer(Script aScript);
  ~RawServer();

  std::string Address() const;
  std::vector<std::string> Requests() const;
  size_t Connections() const { return connections_; }
  size_t ExtrasSent() const { return extrasSent_; }

private:
  void Accept();
  void Serve(int aSocket);
  void WaitWhile(const std::function<bool()>& aCondition) const;

  Script script_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stop_{ false };
  std::atomic<size_t> connections_{ 0 };
  std::atomic<size_t> extrasSent_{ 0 };
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// @returns A complete response with Content-Length.
std::string
RawResponse(const std::string& aBody, const std::string& aHeaders = "");

/// Sends bytes over a new connection and reads until the peer closes it or a complete response has
/// arrived.
std::string
RawCall(const std::string& aAddress, const std::string& aBytes);

/// @returns A socket connected to "ip:port".
int
RawConnect(const std::string& aAddress);

}
