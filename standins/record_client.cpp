#include "record_client.h"

#include "sardinespoke/curl_backend_link.h"

namespace sardinespoke {

namespace {

// A page has up to 20,000 runs.
constexpr size_t kMaxPageBytes = 64 * 1024 * 1024;
constexpr std::chrono::seconds kTimeout{ 10 };

}

std::optional<FetchedRecord>
FetchRecord(const std::string& aControl)
{
  CurlLinkSettings settings;
  settings.maxResponseBytes_ = kMaxPageBytes;
  CurlBackendLink link(settings);
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<FetchedRecord>> {
      FetchedRecord record;
      for (;;) {
        BackendRequest request;
        request.address_ = aControl;
        request.method_ = "GET";
        request.path_ = "/record?from=" + std::to_string(record.runs_.size());
        request.timeout_ = kTimeout;
        BOOST_LEAF_AUTO(answer, link.Send(request));
        const auto page = nlohmann::json::parse(answer.body_);
        const auto runs = page.at("runs").get<std::vector<RunEntry>>();
        record.runs_.insert(record.runs_.end(), runs.begin(), runs.end());
        record.dropped_ = page.at("dropped").get<uint64_t>();
        if (runs.empty()) {
          return std::optional(std::move(record));
        }
      }
    },
    // Handles exceptions of the JSON parser too.
    [] { return std::optional<FetchedRecord>(); });
}

}
