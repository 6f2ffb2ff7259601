#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sardinespoke {

/// Which bytes of a connection no longer arrive.
enum class SilentDirection
{
  Both,
  Requests,
  Replies,
  Count
};

/// TCP proxy on 127.0.0.1 whose open connections can go silent for good: no end, no reset and
/// nothing arrives. Connections made after that work.
class SilencingProxy
{
public:
  /// @param aTarget "ip:port" of the server.
  explicit SilencingProxy(std::string aTarget);
  ~SilencingProxy();
  SilencingProxy(const SilencingProxy&) = delete;
  SilencingProxy& operator=(const SilencingProxy&) = delete;

  /// Silences the connections that are open now.
  void Silence(SilentDirection aDirection = SilentDirection::Both);

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  size_t Connections() const { return connections_; } ///< Accepted so far.

private:
  struct Pair
  {
    int client_ = -1;
    int server_ = -1;
    bool dropsRequests_ = false;
    bool dropsReplies_ = false;
    bool isOpen_ = true;
  };

  void Run();
  void AcceptClient();
  /// Forwards what has arrived at one end.
  /// @returns False if that end is closed.
  static bool Forward(int aFrom, int aTo, bool aDrop);

  const std::string target_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<size_t> connections_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_; ///< Guards pairs_.
  std::vector<Pair> pairs_;
  std::thread thread_;
};

}
