#include "sardinespoke/metrics.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

// Guards against output that a scraper cannot parse because labels and suffixes are misplaced.
TEST(Metrics, ExpositionFormat)
{
  Metrics metrics;
  metrics.Count("requests_total{outcome=\"ok\"}", 3);
  metrics.Set("queue_length", 7);
  metrics.Observe("run_seconds{pool=\"births\"}", std::chrono::milliseconds(20));
  const auto text = metrics.Exposition();
  EXPECT_NE(text.find("# TYPE sardinespoke_requests_total counter\n"), std::string::npos);
  EXPECT_NE(text.find("sardinespoke_requests_total{outcome=\"ok\"} 3\n"), std::string::npos);
  EXPECT_NE(text.find("sardinespoke_queue_length 7\n"), std::string::npos);
  EXPECT_NE(text.find("sardinespoke_run_seconds_count{pool=\"births\"} 1\n"), std::string::npos);
  EXPECT_NE(text.find("sardinespoke_run_seconds{quantile=\"0.5\",pool=\"births\"}"),
            std::string::npos);
}

}
}
