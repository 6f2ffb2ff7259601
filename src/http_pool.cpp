#include "http_pool_p.h"

#include <curl/curl.h>

#include <sys/socket.h>

#include <cctype>
#include <cstring>

namespace sardinespoke {

namespace {

constexpr size_t kMaxIdleHandles = 16;
constexpr size_t kMaxResponseBytes = size_t{ 64 } << 20;
// Servers close idle connections, and a write sent on a closed one has an unknown outcome.
constexpr long kMaxIdleSeconds = 5;

struct CurlGlobal
{
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

}

struct HttpPool::Handle
{
  Handle()
    : easy_(curl_easy_init())
  {
  }

  ~Handle()
  {
    curl_slist_free_all(headers_);
    curl_easy_cleanup(easy_);
  }

  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;

  /// Opens a socket, unless bytes of this write have already been sent on another one: libcurl
  /// resends a request if the server closed a persistent connection, and a write must not be
  /// executed twice.
  static curl_socket_t OpenSocket(void* aHandle, curlsocktype, curl_sockaddr* aAddress)
  {
    const auto* handle = static_cast<Handle*>(aHandle);
    if (handle->isWrite_ && handle->SentBytes() > 0) {
      return CURL_SOCKET_BAD;
    }
    return ::socket(aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
  }

  static size_t Receive(char* aData, size_t aSize, size_t aCount, void* aHandle)
  {
    auto* handle = static_cast<Handle*>(aHandle);
    if (handle->body_.size() + aSize * aCount > kMaxResponseBytes) {
      return 0;
    }
    handle->body_.append(aData, aSize * aCount);
    return aSize * aCount;
  }

  long SentBytes() const
  {
    long bytes = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes);
    return bytes;
  }

  CURL* easy_ = nullptr;
  curl_slist* headers_ = nullptr;
  bool isWrite_ = false;
  std::string body_;
};

HttpPool::HttpPool(std::string aClientName, std::chrono::milliseconds aConnectTimeout)
  : clientHeader_("Sardinespoke-Client: " + std::move(aClientName))
  , connectTimeout_(aConnectTimeout)
{
  static const CurlGlobal kGlobal;
}

HttpPool::~HttpPool() = default;

std::unique_ptr<HttpPool::Handle>
HttpPool::Acquire()
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (idleHandles_.empty()) {
    return std::make_unique<Handle>();
  }
  auto handle = std::move(idleHandles_.back());
  idleHandles_.pop_back();
  return handle;
}

void
HttpPool::Release(std::unique_ptr<Handle> aHandle)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (idleHandles_.size() < kMaxIdleHandles) {
    idleHandles_.push_back(std::move(aHandle));
  }
}

void
HttpPool::Prepare(Handle& aHandle, const HttpRequest& aRequest) const
{
  CURL* easy = aHandle.easy_;
  curl_easy_reset(easy); // Keeps the connection, clears CURLINFO_REQUEST_SIZE.
  curl_slist_free_all(aHandle.headers_);
  aHandle.headers_ = curl_slist_append(nullptr, clientHeader_.c_str());
  aHandle.headers_ = curl_slist_append(aHandle.headers_, "Expect:"); // No wait for "100 Continue".
  aHandle.headers_ = curl_slist_append(aHandle.headers_, "Content-Type: application/octet-stream");
  aHandle.isWrite_ = std::strcmp(aRequest.method_, "GET") != 0;
  aHandle.body_.clear();

  curl_easy_setopt(easy, CURLOPT_URL, aRequest.url_.c_str());
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aHandle.headers_);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout_.count()));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(aRequest.timeout_.count()));
  // With a single persistent connection, libcurl can resend only on a new socket, which
  // OpenSocket() refuses.
  curl_easy_setopt(easy, CURLOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Handle::OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &aHandle);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Handle::Receive);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aHandle);
  if (!aHandle.isWrite_) {
    return;
  }
  curl_easy_setopt(easy, CURLOPT_POST, 1L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, aRequest.method_);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, aRequest.body_.c_str());
  curl_easy_setopt(
    easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(aRequest.body_.size()));
}

leaf::result<HttpResponse>
HttpPool::Call(const HttpRequest& aRequest)
{
  auto handle = Acquire();
  Prepare(*handle, aRequest);
  const CURLcode code = curl_easy_perform(handle->easy_);
  const bool sent = handle->SentBytes() > 0;
  HttpResponse answer;
  curl_easy_getinfo(handle->easy_, CURLINFO_RESPONSE_CODE, &answer.status_);
  answer.body_ = std::move(handle->body_);
  if (code == CURLE_OK) {
    Release(std::move(handle));
    return answer;
  }
  // Destroys the handle with its connection, so that a later call cannot read a late response.
  const std::string message =
    std::string(aRequest.method_) + " " + aRequest.url_ + ": " + curl_easy_strerror(code);
  return leaf::new_error(
    StoreError{ sent ? StoreError::Code::OutcomeUnknown : StoreError::Code::Unreachable, message });
}

std::string
HttpPool::Encode(const std::string& aText, const std::string& aKeep)
{
  constexpr char kHex[] = "0123456789ABCDEF";
  const std::string keep = "-._~" + aKeep;
  std::string result;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool alphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
    if (alphanumeric || keep.find(character) != std::string::npos) {
      result += character;
      continue;
    }
    result += '%';
    result += kHex[byte >> 4];
    result += kHex[byte & 0xF];
  }
  return result;
}

}
