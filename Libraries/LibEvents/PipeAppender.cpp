#include <LibEvents/PipeAppender.h>

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <string>

namespace lycheeseam {

pipe_appender::~pipe_appender()
{
  destructorImpl();
}

void
pipe_appender::append(log4cplus::spi::InternalLoggingEvent const& aEvent)
{
  // Asked first rather than set to non-blocking, since others may share the
  // descriptor. A pipe that takes anything takes a line of this size whole.
  pollfd output{ .fd = mOutput, .events = POLLOUT, .revents = 0 };
  if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
    ++mDropped;
    return;
  }
  std::string const line = aEvent.getMessage() + "\n";
  if (::write(mOutput, line.data(), line.size()) < 0)
    ++mDropped;
}

}
