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
  // Polls instead of setting O_NONBLOCK, since other processes may share the
  // descriptor. A writable pipe has room for PIPE_BUF bytes, which is more than
  // the longest line.
  pollfd output{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
  if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
    ++mDropped;
    return;
  }
  std::string const line = aEvent.getMessage() + "\n";
  if (::write(mDescriptor, line.data(), line.size()) < 0)
    ++mDropped;
}

}
