#pragma once

#include <log4cplus/layout.h>

#include <string>

namespace sardinespoke {

/// Formats a log event as one JSON object per line. The message must be a serialized JSON object.
class JsonLayout final : public log4cplus::Layout
{
public:
  explicit JsonLayout(std::string aProcess);

  void formatAndAppend(log4cplus::tostream& aOutput,
                       const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  std::string process_;
};

}
