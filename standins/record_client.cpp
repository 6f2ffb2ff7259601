#include "record_client.h"

#include "sardinespoke/curl_backend_link.h"

namespace sardinespoke {

namespace {

// One page of the record may be long.
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
    // Also an exception of the JSON parser.
    [] { return std::optional<FetchedRecord>(); });
}

}
