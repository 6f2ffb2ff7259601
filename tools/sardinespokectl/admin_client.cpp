#include "admin_client.h"

#include <ulfius.h>

namespace sardinespoke {

std::string
UrlEncode(const std::string& aText)
{
  char* encoded = ulfius_url_encode(aText.c_str());
  std::string text = encoded != nullptr ? encoded : "";
  u_free(encoded);
  return text;
}

AdminClient::AdminClient(std::vector<std::string> aAddresses, std::chrono::seconds aTimeout)
  : addresses_(std::move(aAddresses))
  , timeout_(aTimeout)
{
}

AdminAnswer
AdminClient::Call(const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody) const
{
  AdminAnswer last;
  bool sent = false;
  for (const auto& address : addresses_) {
    last = CallOne(address, aMethod, aPath, aBody);
    sent = sent || last.sent_;
    if (last.status_ != 0) {
      return last;
    }
  }
  last.sent_ = sent;
  return last;
}

AdminAnswer
AdminClient::CallOne(const std::string& aAddress,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody) const
{
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  const auto url = "http://" + aAddress + aPath;
  ulfius_set_request_properties(&request,
                                U_OPT_HTTP_VERB,
                                aMethod.c_str(),
                                U_OPT_HTTP_URL,
                                url.c_str(),
                                U_OPT_TIMEOUT,
                                static_cast<unsigned long>(timeout_.count()),
                                U_OPT_NONE);
  if (!aBody.empty()) {
    ulfius_set_binary_body_request(&request, aBody.data(), aBody.size());
  }

  AdminAnswer answer;
  const int result = ulfius_send_http_request(&request, &response);
  // The client library does not tell a refused connection from a lost answer.
  answer.sent_ = true;
  if (result == U_OK) {
    answer.status_ = response.status;
    answer.text_.assign(static_cast<const char*>(response.binary_body),
                        response.binary_body_length);
    answer.body_ = nlohmann::json::parse(answer.text_, nullptr, false);
  }
  ulfius_clean_request(&request);
  ulfius_clean_response(&response);
  return answer;
}

}
