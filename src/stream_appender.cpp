#include "stream_appender_p.h"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <log4cplus/thread/syncprims.h>

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <sstream>

namespace sardinespoke {

namespace {

constexpr size_t kQueueBytes = 256U << 10U;
constexpr size_t kReservedBytes = 64U << 10U;

}

StreamAppender::StreamAppender(int aDescriptor)
  : descriptor_(aDescriptor)
  , queue_(kQueueBytes, kReservedBytes)
{
}

StreamAppender::~StreamAppender()
{
  destructorImpl();
}

void
StreamAppender::close()
{
  Flush();
  closed = true;
}

void
StreamAppender::Flush()
{
  const log4cplus::thread::MutexGuard guard(access_mutex);
  Drain();
}

std::string
StreamAppender::Format(const log4cplus::spi::InternalLoggingEvent& aEvent) const
{
  std::ostringstream text;
  layout->formatAndAppend(text, aEvent);
  return text.str();
}

size_t
StreamAppender::Write(std::string_view aText) const
{
  pollfd entry{ descriptor_, POLLOUT, 0 };
  if (poll(&entry, 1, 0) <= 0) {
    return 0;
  }
  // A pipe that is ready takes this much at once.
  const ssize_t written =
    write(descriptor_, aText.data(), std::min<size_t>(aText.size(), PIPE_BUF));
  if (written >= 0) {
    return static_cast<size_t>(written);
  }
  const bool mayRetry = errno == EAGAIN || errno == EINTR;
  return mayRetry ? 0 : aText.size(); // Without a reader, lines are lost.
}

void
StreamAppender::Drain()
{
  queue_.Drain([this](std::string_view aText) { return Write(aText); });
}

void
StreamAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  Drain();
  const bool isImportant =
    aEvent.getLogLevel() >= log4cplus::WARN_LOG_LEVEL || aEvent.getLoggerName() == kImportantLogger;
  std::string line = Format(aEvent);
  const uint64_t unreported = queue_.Dropped() - reportedDropped_;
  if (unreported > 0) {
    std::string notice = Format(log4cplus::spi::InternalLoggingEvent(
      aEvent.getLoggerName(),
      log4cplus::WARN_LOG_LEVEL,
      R"({"event":"log.lines_dropped","lines":)" + std::to_string(unreported) + "}",
      __FILE__,
      __LINE__));
    if (queue_.Fits(notice.size() + line.size(), isImportant)) {
      queue_.Push(std::move(notice), isImportant);
      reportedDropped_ += unreported;
    }
  }
  queue_.Push(std::move(line), isImportant);
  Drain();
  dropped_ = queue_.Dropped();
}

}
