#include "sardinespoke/errors.h"

#include <gtest/gtest.h>

namespace sardinespoke {
namespace {

// Guards against an error code that was added without a name.
TEST(Errors, EveryCodeHasAName)
{
  for (int code = 0; code < static_cast<int>(StoreError::Code::Count); ++code) {
    EXPECT_STRNE(CodeName(static_cast<StoreError::Code>(code)), nullptr);
  }
  for (int code = 0; code < static_cast<int>(AdmissionError::Code::Count); ++code) {
    EXPECT_STRNE(CodeName(static_cast<AdmissionError::Code>(code)), nullptr);
  }
  EXPECT_STREQ(CodeName(PlannerError::Code::InvalidTransition), "invalid-transition");
  EXPECT_STREQ(CodeName(BackendError::Code::Stale), "stale");
  EXPECT_STREQ(CodeName(ConfigError::Code::NotFound), "not-found");
  EXPECT_STREQ(CodeName(PeerError::Code::Refused), "refused");
}

}
}
