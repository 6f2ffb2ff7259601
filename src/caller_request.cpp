#include "caller_request_p.h"
#include "http_fields_p.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kMaxDeadline{ 600000 };
constexpr uint32_t kMaxIdsPerCall = 1000;
constexpr size_t kMaxServiceName = 64;
constexpr size_t kMaxRequestId = 128;
constexpr char kRequestIdHeader[] = "Sardinespoke-Request-Id";
constexpr char kIdempotentHeader[] = "Sardinespoke-Idempotent";
constexpr char kDeadlineHeader[] = "Sardinespoke-Deadline-Ms";
constexpr std::string_view kReservedHeaderPrefix = "Sardinespoke-";

auto
Malformed(std::string aField, std::string aMessage)
{
  return leaf::new_error(
    GatewayError{ GatewayError::Code::Malformed, std::move(aField), std::move(aMessage) });
}

/// Finds a header that may occur at most once. Errors: GatewayError if it is repeated.
leaf::result<std::optional<std::string>>
SingleHeader(const HeaderList& aHeaders, const char* aName)
{
  std::optional<std::string> found;
  for (const auto& [name, value] : aHeaders) {
    if (!EqualNoCase(name, aName)) {
      continue;
    }
    if (found) {
      return Malformed(aName, "the header is given more than once");
    }
    found = Trim(value);
  }
  return found;
}

bool
IsNameChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' || aChar == '.';
}

bool
IsName(std::string_view aText, size_t aMaxLength)
{
  return !aText.empty() && aText.size() <= aMaxLength &&
         std::all_of(aText.begin(), aText.end(), IsNameChar);
}

/// @returns The number; empty unless the whole text is a number from 1 to aMax.
std::optional<uint32_t>
ParseNumber(std::string_view aText, uint32_t aMax)
{
  uint32_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, number);
  if (code != std::errc() || stop != end || number == 0 || number > aMax) {
    return std::nullopt;
  }
  return number;
}

bool
IsIdempotentMethod(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" || aMethod == "DELETE";
}

leaf::result<bool>
ParseIdempotent(const RawRequest& aRaw)
{
  BOOST_LEAF_AUTO(given, SingleHeader(aRaw.headers_, kIdempotentHeader));
  if (!given) {
    return IsIdempotentMethod(aRaw.method_);
  }
  if (*given != "true" && *given != "false") {
    return Malformed(kIdempotentHeader, "expected \"true\" or \"false\", found \"" + *given + "\"");
  }
  return *given == "true";
}

leaf::result<std::chrono::milliseconds>
ParseDeadline(const HeaderList& aHeaders)
{
  BOOST_LEAF_AUTO(given, SingleHeader(aHeaders, kDeadlineHeader));
  if (!given) {
    return std::chrono::milliseconds(0);
  }
  const auto number = ParseNumber(*given, static_cast<uint32_t>(kMaxDeadline.count()));
  if (!number) {
    return Malformed(kDeadlineHeader,
                     "expected milliseconds from 1 to " + std::to_string(kMaxDeadline.count()) +
                       ", found \"" + *given + "\"");
  }
  return std::chrono::milliseconds(*number);
}

leaf::result<std::string>
ParseRequestId(const HeaderList& aHeaders, bool aIdempotent)
{
  BOOST_LEAF_AUTO(given, SingleHeader(aHeaders, kRequestIdHeader));
  if (!given && aIdempotent) {
    return std::string();
  }
  if (!given) {
    return Malformed(kRequestIdHeader,
                     "non-idempotent work needs a request id from POST /v1/request-ids");
  }
  if (!IsName(*given, kMaxRequestId)) {
    return Malformed(kRequestIdHeader, "not an id that an entry host issued");
  }
  return *given;
}

/// @returns Whether the gateway or libcurl sets the header in requests to backend servers, so that
/// the caller's value is dropped.
bool
IsSetByGateway(const std::string& aName)
{
  const std::string_view start = std::string_view(aName).substr(0, kReservedHeaderPrefix.size());
  return EqualNoCase(start, kReservedHeaderPrefix) || EqualNoCase(aName, "Host") ||
         EqualNoCase(aName, "Content-Length") || EqualNoCase(aName, "Expect");
}

HeaderList
ForwardedHeaders(const HeaderList& aHeaders)
{
  const std::vector<std::string> connectionOptions = ConnectionOptions(aHeaders);
  HeaderList forwarded;
  for (const auto& header : aHeaders) {
    if (IsHopByHop(header.first) || IsSetByGateway(header.first) ||
        ContainsNoCase(connectionOptions, header.first)) {
      continue;
    }
    forwarded.push_back(header);
  }
  return forwarded;
}

}

leaf::result<void>
CheckLimits(const RawRequest& aRaw, const GatewaySettings& aSettings)
{
  const auto tooBig = [](const char* aField, const std::string& aMessage) {
    return leaf::new_error(GatewayError{ GatewayError::Code::HeadersTooBig, aField, aMessage });
  };
  if (!IsToken(aRaw.method_)) {
    return Malformed("method", "not a valid method name");
  }
  if (aRaw.target_.size() > aSettings.maxTargetBytes_) {
    return tooBig("path", "longer than " + std::to_string(aSettings.maxTargetBytes_) + " bytes");
  }
  const bool printable = std::all_of(aRaw.target_.begin(), aRaw.target_.end(), [](char aChar) {
    return aChar > 0x20 && aChar < 0x7f && aChar != '#';
  });
  if (!printable) {
    return Malformed("path", "characters outside of a URL must be percent-encoded");
  }
  if (aRaw.headers_.size() > aSettings.maxHeaderCount_) {
    return tooBig("headers",
                  "more than " + std::to_string(aSettings.maxHeaderCount_) + " header fields");
  }
  size_t bytes = 0;
  for (const auto& [name, value] : aRaw.headers_) {
    bytes += name.size() + value.size();
    if (!IsToken(name)) {
      return Malformed("headers", "a header name has invalid characters");
    }
    if (!IsFieldValue(value)) {
      return Malformed(name, "the value has control characters");
    }
  }
  if (bytes > aSettings.maxHeaderBytes_) {
    return tooBig("headers",
                  "more than " + std::to_string(aSettings.maxHeaderBytes_) +
                    " bytes of header fields");
  }
  // Prevents request smuggling: with ambiguous lengths, the gateway and the backend server could
  // disagree on where the request ends.
  BOOST_LEAF_AUTO(length, SingleHeader(aRaw.headers_, "Content-Length"));
  BOOST_LEAF_AUTO(coding, SingleHeader(aRaw.headers_, "Transfer-Encoding"));
  if (length && coding) {
    return Malformed("Transfer-Encoding", "not allowed together with Content-Length");
  }
  if (coding && !EqualNoCase(*coding, "chunked")) {
    return Malformed("Transfer-Encoding", "only \"chunked\" is supported");
  }
  return {};
}

leaf::result<CallerRequest>
ParseServiceRequest(const RawRequest& aRaw)
{
  if (EqualNoCase(aRaw.method_, "CONNECT") || EqualNoCase(aRaw.method_, "TRACE")) {
    return Malformed("method", aRaw.method_ + " is not supported");
  }
  const std::string_view rest = std::string_view(aRaw.target_).substr(kServicesPrefix.size());
  const size_t nameEnd = std::min(rest.find_first_of("/?"), rest.size());
  const std::string_view name = rest.substr(0, nameEnd);
  if (!IsName(name, kMaxServiceName)) {
    return Malformed("service", "expected /v1/services/<service>/<path> with a valid name");
  }
  CallerRequest request;
  request.service_ = std::string(name);
  request.method_ = aRaw.method_;
  request.path_ = std::string(rest.substr(nameEnd));
  if (request.path_.empty() || request.path_.front() != '/') {
    request.path_.insert(0, "/");
  }
  const std::string_view path = std::string_view(request.path_).substr(1);
  request.kind_ = request.service_ + "/" + std::string(path.substr(0, path.find_first_of("/?")));
  BOOST_LEAF_ASSIGN(request.idempotent_, ParseIdempotent(aRaw));
  BOOST_LEAF_ASSIGN(request.deadline_, ParseDeadline(aRaw.headers_));
  BOOST_LEAF_ASSIGN(request.requestId_, ParseRequestId(aRaw.headers_, request.idempotent_));
  request.headers_ = ForwardedHeaders(aRaw.headers_);
  return request;
}

leaf::result<uint32_t>
ParseIdCount(std::string_view aTarget)
{
  const size_t mark = aTarget.find('?');
  if (mark == std::string_view::npos) {
    return 1U;
  }
  constexpr std::string_view kCount = "count=";
  const std::string_view query = aTarget.substr(mark + 1);
  if (query.substr(0, kCount.size()) == kCount) {
    if (const auto number = ParseNumber(query.substr(kCount.size()), kMaxIdsPerCall)) {
      return *number;
    }
  }
  return Malformed("count", "expected count=N with N from 1 to " + std::to_string(kMaxIdsPerCall));
}

}
