#pragma once

#include "sardinespoke/intake_budget.h"
#include "sardinespoke/settings.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinespoke {

/// An HTTP request from an operator or a monitoring system.
struct AdminRequest
{
  std::string method_;
  std::string path_;
  std::map<std::string, std::string> parameters_; ///< Path and query parameters.
  std::string body_;
  std::map<std::string, std::string> headers_; ///< Keyed by the lower-case name.

  /// @returns The value of a parameter; empty if it is absent.
  std::string Parameter(const std::string& aName) const;

  /// @param aName Header name in lower case.
  /// @returns The value of a header; empty if it is absent.
  std::string Header(const std::string& aName) const;
};

/// The response to an AdminRequest.
struct AdminResponse
{
  unsigned int status_ = 200;
  std::string contentType_ = "application/json";
  std::string body_;
  /// Sent as Retry-After in whole seconds, rounded up; 0 omits the header.
  std::chrono::milliseconds retryAfter_{ 0 };
  std::string challenge_;        ///< Sent as WWW-Authenticate; empty omits the header.
  bool closeConnection_ = false; ///< Closes the connection after this response.

  static AdminResponse Json(unsigned int aStatus, const nlohmann::json& aBody);

  /// @returns A response with the common error body: {"error", "field", "message"}.
  static AdminResponse Error(unsigned int aStatus,
                             const std::string& aError,
                             const std::string& aField,
                             const std::string& aMessage);
};

/// HTTP server with a thread for each connection, within an IntakeBudget.
class AdminServer
{
public:
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  AdminServer();
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Adds a route; call before Init().
  /// @param aPattern Path; a segment that begins with "@" is a parameter.
  void AddRoute(const std::string& aMethod, const std::string& aPattern, Handler aHandler);

  /// Sets the handler for requests that match no route; call before Init().
  void SetFallback(Handler aHandler);

  /// Counts the connections in a budget that several servers share; call before Init(). A server
  /// has one of its own otherwise.
  void SetBudget(IntakeBudget& aBudget);

  /// Starts listening. Errors: ConfigError if the address cannot be bound.
  leaf::result<void> Init(const Endpoint& aListen);
  void Shutdown();

private:
  struct State;
  std::unique_ptr<State> state_;
};

}
