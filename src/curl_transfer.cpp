#include "curl_transfer_p.h"
#include "http_fields_p.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <new>

namespace sardinespoke {

namespace {

constexpr size_t kMaxResponseHeaders = 200;
constexpr std::chrono::milliseconds kMaxPollWait{ 1000 };
constexpr char kAttemptHeader[] = "Sardinespoke-Attempt";
constexpr char kRefusedHeader[] = "Sardinespoke-Refused";
constexpr int kServiceUnavailable = 503;

/// @returns The value of a header; null if it is absent.
const std::string*
FindHeader(const HeaderList& aHeaders, const char* aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualNoCase(name, aName)) {
      return &value;
    }
  }
  return nullptr;
}

bool
HasHeader(const HeaderList& aHeaders, const char* aName)
{
  return FindHeader(aHeaders, aName) != nullptr;
}

}

CurlTransfer::CurlTransfer(const CurlLinkSettings& aSettings)
  : settings_(aSettings)
  , multi_(curl_multi_init())
  , easy_(curl_easy_init())
{
  if (!multi_ || !easy_) {
    throw std::bad_alloc();
  }
  // One connection per handle; libcurl would use a second one only to resend the request.
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 1L);
  SetConstantOptions();
}

CurlTransfer::~CurlTransfer()
{
  curl_easy_cleanup(easy_);
  curl_multi_cleanup(multi_);
  curl_slist_free_all(headerLines_);
}

void
CurlTransfer::SetConstantOptions()
{
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
  // An empty string also overrides the proxy environment variables.
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, long{ CURL_HTTP_VERSION_1_1 });
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(
    easy_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(settings_.connectTimeout_.count()));
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &CurlTransfer::OpenSocket);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION, &CurlTransfer::CloseSocket);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &CurlTransfer::OnPreRequest);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &CurlTransfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &CurlTransfer::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
}

void
CurlTransfer::BuildHeaders(const BackendRequest& aRequest)
{
  curl_slist_free_all(headerLines_);
  headerLines_ = nullptr;
  const auto append = [this](const std::string& aLine) {
    headerLines_ = curl_slist_append(headerLines_, aLine.c_str());
  };
  for (const auto& [name, value] : aRequest.headers_) {
    // libcurl removes a header given as "Name:" and sends an empty one only for "Name;".
    std::string line = name;
    line += value.empty() ? ";" : ": ";
    append(line += value);
  }
  // A name without a value suppresses a header that libcurl adds by default.
  append("Expect:");
  if (!HasHeader(aRequest.headers_, "Accept")) {
    append("Accept:");
  }
  if (!HasHeader(aRequest.headers_, "Content-Type")) {
    append("Content-Type:");
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headerLines_);
}

void
CurlTransfer::SetRequestOptions(const BackendRequest& aRequest)
{
  const std::string url = "http://" + aRequest.address_ + "/";
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  // The request target is sent verbatim; libcurl would normalize some characters of a URL.
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET, aRequest.path_.c_str());
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.timeout_.count()));
  const bool sendsBody =
    !aRequest.body_.empty() || (aRequest.method_ != "GET" && aRequest.method_ != "HEAD");
  // HTTPGET comes first, because it also resets NOBODY and POST of the previous transfer.
  curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  if (sendsBody) {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(
      easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aRequest.body_.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, aRequest.body_.data());
  }
  if (aRequest.method_ == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  }
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, aRequest.method_.c_str());
  BuildHeaders(aRequest);
}

CurlTransfer::Result
CurlTransfer::Run(const BackendRequest& aRequest)
{
  request_ = &aRequest;
  response_ = BackendResponse{};
  abortReason_ = AbortReason::None;
  sendAllowed_ = false;
  headersDone_ = false;
  newConnection_ = socket_ == CURL_SOCKET_BAD;
  contentLength_.clear();
  transferEncoding_.clear();
  if (!newConnection_ && !ConnectionIsIdle()) {
    Result result;
    result.connectionUnusable_ = true;
    return result;
  }
  SetRequestOptions(aRequest);
  Result result = MakeResult(Perform(aRequest));
  request_ = nullptr;
  return result;
}

CURLcode
CurlTransfer::Perform(const BackendRequest& aRequest)
{
  if (curl_multi_add_handle(multi_, easy_) != CURLM_OK) {
    return CURLE_FAILED_INIT;
  }
  // curl_multi_poll() also wakes up for libcurl's own timeouts.
  const auto wait = aRequest.cancelled_ ? settings_.cancelPollInterval_ : kMaxPollWait;
  CURLcode code = CURLE_FAILED_INIT;
  int running = 1;
  while (running > 0) {
    if (aRequest.cancelled_ && aRequest.cancelled_()) {
      abortReason_ = AbortReason::Cancelled;
      code = CURLE_ABORTED_BY_CALLBACK;
      break;
    }
    if (curl_multi_perform(multi_, &running) != CURLM_OK) {
      break;
    }
    if (running > 0) {
      curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count()), nullptr);
    }
  }
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg == CURLMSG_DONE) {
      code = message->data.result;
    }
  }
  // Removing an unfinished transfer closes its connection.
  curl_multi_remove_handle(multi_, easy_);
  return code;
}

bool
CurlTransfer::RequestMayHaveBeenSent() const
{
  long sent = 0;
  curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &sent);
  return sendAllowed_ && sent > 0;
}

CurlTransfer::Result
CurlTransfer::MakeResult(CURLcode aCode)
{
  using Code = BackendError::Code;
  Result result;
  const bool sent = RequestMayHaveBeenSent();
  const auto fail = [&result](Code aError, std::string aMessage) {
    result.error_ = BackendError{ aError, std::move(aMessage) };
    return result;
  };
  if (abortReason_ == AbortReason::Unusable) {
    result.connectionUnusable_ = true;
    return result;
  }
  if (abortReason_ == AbortReason::Stale) {
    return fail(Code::Stale, "the view of the fleet lapsed before the request was sent");
  }
  if (abortReason_ == AbortReason::TooLarge) {
    return fail(Code::TooLarge,
                "the answer is above the limit of " + std::to_string(settings_.maxResponseBytes_) +
                  " bytes");
  }
  if (aCode != CURLE_OK && !sent) {
    return fail(Code::NotSent, curl_easy_strerror(aCode));
  }
  if (abortReason_ == AbortReason::Cancelled) {
    return fail(Code::Incomplete, "the transfer was cut because the caller left");
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return fail(Code::Timeout, "no whole answer in time");
  }
  if (aCode != CURLE_OK) {
    return fail(Code::Incomplete, curl_easy_strerror(aCode));
  }
  if (const char* fault = FindFramingError()) {
    return fail(Code::Incomplete, fault);
  }
  const std::string* refused = FindHeader(response_.headers_, kRefusedHeader);
  if (response_.status_ == kServiceUnavailable && refused && *refused == "slots") {
    return fail(Code::SlotsRefused, "the backend server has no free slot");
  }
  result.response_ = std::move(response_);
  return result;
}

bool
CurlTransfer::HasNoBody() const
{
  return request_->method_ == "HEAD" || response_.status_ == 204 || response_.status_ == 304;
}

const char*
CurlTransfer::FindFramingError() const
{
  if (response_.status_ < 200) {
    return "the backend server sent no final answer";
  }
  const std::string* attempt = FindHeader(request_->headers_, kAttemptHeader);
  const std::string* echoed = FindHeader(response_.headers_, kAttemptHeader);
  if (attempt && echoed && *attempt != *echoed) {
    return "the answer belongs to another request";
  }
  if (HasNoBody()) {
    return nullptr;
  }
  if (!transferEncoding_.empty()) {
    if (!contentLength_.empty()) {
      return "the answer has both Content-Length and Transfer-Encoding";
    }
    return EqualNoCase(transferEncoding_, "chunked") ? nullptr
                                                     : "the answer has an unknown transfer coding";
  }
  if (contentLength_.empty()) {
    return "the answer has no length, so that a cut answer would look whole";
  }
  if (contentLength_ != std::to_string(response_.body_.size())) {
    return "the answer differs from its Content-Length";
  }
  return nullptr;
}

bool
CurlTransfer::ConnectionIsIdle() const
{
  // A readable idle socket was closed by the server or has unsolicited bytes.
  char byte = 0;
  const ssize_t count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

curl_socket_t
CurlTransfer::OpenSocket(void* aSelf, curlsocktype aPurpose, curl_sockaddr* aAddress)
{
  auto* self = static_cast<CurlTransfer*>(aSelf);
  // libcurl resends a request if a persistent connection breaks before the response begins. The
  // server may have run it already, so no second connection is opened once bytes were sent.
  if (aPurpose != CURLSOCKTYPE_IPCXN || self->RequestMayHaveBeenSent()) {
    ++self->resendsBlocked_;
    return CURL_SOCKET_BAD;
  }
  const int type = aAddress->socktype | SOCK_CLOEXEC; // NOLINT(hicpp-signed-bitwise)
  const curl_socket_t opened = socket(aAddress->family, type, aAddress->protocol);
  if (opened != CURL_SOCKET_BAD) {
    ++self->connectionsOpened_;
    self->socket_ = opened;
    self->newConnection_ = true;
  }
  return opened;
}

int
CurlTransfer::CloseSocket(void* aSelf, curl_socket_t aSocket)
{
  auto* self = static_cast<CurlTransfer*>(aSelf);
  if (self->socket_ == aSocket) {
    self->socket_ = CURL_SOCKET_BAD;
  }
  return close(aSocket);
}

int
CurlTransfer::OnPreRequest(void* aSelf, char*, char*, int, int)
{
  auto* self = static_cast<CurlTransfer*>(aSelf);
  if (!self->newConnection_ && !self->ConnectionIsIdle()) {
    self->abortReason_ = AbortReason::Unusable;
    return CURL_PREREQFUNC_ABORT;
  }
  if (self->request_->mayStart_ && !self->request_->mayStart_()) {
    self->abortReason_ = AbortReason::Stale;
    return CURL_PREREQFUNC_ABORT;
  }
  self->sendAllowed_ = true;
  return CURL_PREREQFUNC_OK;
}

bool
CurlTransfer::RecordFramingHeader(const std::string& aName, const std::string& aValue)
{
  if (EqualNoCase(aName, "Content-Length")) {
    const bool repeatsOther = !contentLength_.empty() && contentLength_ != aValue;
    contentLength_ = aValue;
    return !repeatsOther;
  }
  if (EqualNoCase(aName, "Transfer-Encoding")) {
    const bool repeated = !transferEncoding_.empty();
    transferEncoding_ = aValue;
    return !repeated;
  }
  return true;
}

bool
CurlTransfer::AddHeader(const std::string& aLine)
{
  if (headersDone_) {
    return true; // Trailer fields are not forwarded.
  }
  if (aLine.rfind("HTTP/", 0) == 0) {
    // A new status line: the previous headers were those of an interim (1xx) response.
    const size_t space = aLine.find(' ');
    response_ = BackendResponse{};
    response_.status_ = space == std::string::npos ? 0 : std::atoi(aLine.c_str() + space + 1);
    contentLength_.clear();
    transferEncoding_.clear();
    return response_.status_ >= 100 && response_.status_ <= 999;
  }
  const size_t colon = aLine.find(':');
  if (colon == std::string::npos) {
    headersDone_ = response_.status_ >= 200;
    return Trim(aLine).empty();
  }
  std::string name = aLine.substr(0, colon);
  std::string value = Trim(aLine.substr(colon + 1));
  if (!IsToken(name) || !IsFieldValue(value) || response_.headers_.size() >= kMaxResponseHeaders) {
    return false;
  }
  if (!RecordFramingHeader(name, value)) {
    return false;
  }
  response_.headers_.emplace_back(std::move(name), std::move(value));
  return true;
}

size_t
CurlTransfer::OnHeader(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const size_t length = aSize * aCount;
  if (self->AddHeader(std::string(aData, length))) {
    return length;
  }
  self->abortReason_ = AbortReason::BadHeader;
  return 0;
}

size_t
CurlTransfer::OnBody(char* aData, size_t aSize, size_t aCount, void* aSelf)
{
  auto* self = static_cast<CurlTransfer*>(aSelf);
  const size_t length = aSize * aCount;
  if (self->response_.body_.size() + length > self->settings_.maxResponseBytes_) {
    self->abortReason_ = AbortReason::TooLarge;
    return 0;
  }
  self->response_.body_.append(aData, length);
  return length;
}

}
