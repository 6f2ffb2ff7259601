#include "sardinespoke/admin_server.h"

#include <arpa/inet.h>
#include <ulfius.h>

#include <algorithm>
#include <cctype>

namespace sardinespoke {

namespace {

// Leaves headroom above the largest body, a profile document, which the store limits to 1 MB.
constexpr size_t kMaxBodyBytes = 2U << 20U;

struct BoundRoute
{
  std::string method_;
  std::string pattern_;
  AdminServer::Handler handler_;
};

void
CopyParameters(const _u_map* aMap, std::map<std::string, std::string>& aParameters)
{
  const char** keys = u_map_enum_keys(aMap);
  for (size_t index = 0; keys != nullptr && keys[index] != nullptr; ++index) {
    const char* value = u_map_get(aMap, keys[index]);
    aParameters[keys[index]] = value != nullptr ? value : "";
  }
}

void
CopyHeaders(const _u_map* aMap, std::map<std::string, std::string>& aHeaders)
{
  std::map<std::string, std::string> headers;
  CopyParameters(aMap, headers);
  for (auto& [name, value] : headers) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
    aHeaders[lower] = std::move(value);
  }
}

int
HandleRequest(const _u_request* aRequest, _u_response* aResponse, void* aRoute)
{
  const auto* route = static_cast<const BoundRoute*>(aRoute);
  AdminRequest request;
  request.method_ = aRequest->http_verb;
  request.path_ = aRequest->url_path != nullptr ? aRequest->url_path : "";
  CopyParameters(aRequest->map_url, request.parameters_);
  CopyHeaders(aRequest->map_header, request.headers_);
  if (aRequest->binary_body_length > 0) {
    request.body_.assign(static_cast<const char*>(aRequest->binary_body),
                         aRequest->binary_body_length);
  }
  AdminResponse response;
  try {
    response = route->handler_(request);
  } catch (const std::exception& failure) {
    response = AdminResponse::Error(500, "internal", "", failure.what());
  }
  ulfius_add_header_to_response(aResponse, "Content-Type", response.contentType_.c_str());
  if (response.retryAfter_ > std::chrono::milliseconds(0)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(response.retryAfter_);
    ulfius_add_header_to_response(
      aResponse, "Retry-After", std::to_string(seconds.count()).c_str());
  }
  if (!response.challenge_.empty()) {
    ulfius_add_header_to_response(aResponse, "WWW-Authenticate", response.challenge_.c_str());
  }
  if (response.closeConnection_) {
    ulfius_add_header_to_response(aResponse, "Connection", "close");
  }
  ulfius_set_binary_body_response(
    aResponse, response.status_, response.body_.data(), response.body_.size());
  return U_CALLBACK_COMPLETE;
}

}

struct AdminServer::State
{
  std::vector<std::unique_ptr<BoundRoute>> routes_;
  std::unique_ptr<BoundRoute> fallback_;
  _u_instance instance_{};
  bool running_ = false;
};

std::string
AdminRequest::Parameter(const std::string& aName) const
{
  const auto found = parameters_.find(aName);
  return found == parameters_.end() ? std::string() : found->second;
}

std::string
AdminRequest::Header(const std::string& aName) const
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? std::string() : found->second;
}

AdminResponse
AdminResponse::Json(unsigned int aStatus, const nlohmann::json& aBody)
{
  AdminResponse response;
  response.status_ = aStatus;
  response.body_ = aBody.dump();
  return response;
}

AdminResponse
AdminResponse::Error(unsigned int aStatus,
                     const std::string& aError,
                     const std::string& aField,
                     const std::string& aMessage)
{
  return Json(aStatus, { { "error", aError }, { "field", aField }, { "message", aMessage } });
}

AdminServer::AdminServer()
  : state_(std::make_unique<State>())
{
}

AdminServer::~AdminServer()
{
  Shutdown();
}

void
AdminServer::AddRoute(const std::string& aMethod, const std::string& aPattern, Handler aHandler)
{
  state_->routes_.push_back(
    std::make_unique<BoundRoute>(BoundRoute{ aMethod, aPattern, std::move(aHandler) }));
}

void
AdminServer::SetFallback(Handler aHandler)
{
  state_->fallback_ = std::make_unique<BoundRoute>(BoundRoute{ "*", "*", std::move(aHandler) });
}

leaf::result<void>
AdminServer::Init(const Endpoint& aListen)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aListen.port_);
  inet_pton(AF_INET, aListen.address_.c_str(), &address.sin_addr);
  const ConfigError bindError{ ConfigError::Code::Semantic,
                               "/admin",
                               "cannot listen on " + aListen.Text() };
  if (ulfius_init_instance(&state_->instance_, aListen.port_, &address, nullptr) != U_OK) {
    return leaf::new_error(bindError);
  }
  state_->instance_.max_post_body_size = kMaxBodyBytes;
  for (const auto& route : state_->routes_) {
    ulfius_add_endpoint_by_val(&state_->instance_,
                               route->method_.c_str(),
                               nullptr,
                               route->pattern_.c_str(),
                               0,
                               &HandleRequest,
                               route.get());
  }
  if (state_->fallback_) {
    // Higher numbers are tried later, so that every route takes precedence.
    constexpr unsigned int kLast = 1;
    ulfius_add_endpoint_by_val(
      &state_->instance_, "*", nullptr, "*", kLast, &HandleRequest, state_->fallback_.get());
  }
  if (ulfius_start_framework(&state_->instance_) != U_OK) {
    ulfius_clean_instance(&state_->instance_);
    return leaf::new_error(bindError);
  }
  state_->running_ = true;
  return {};
}

void
AdminServer::Shutdown()
{
  if (!state_->running_) {
    return;
  }
  state_->running_ = false;
  ulfius_stop_framework(&state_->instance_);
  ulfius_clean_instance(&state_->instance_);
}

}
