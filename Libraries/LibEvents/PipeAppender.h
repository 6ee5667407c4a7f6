#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace lycheeseam {

/// Writes lines to standard output, and drops those that would block.
class pipe_appender : public log4cplus::Appender
{
public:
  pipe_appender() = default;
  pipe_appender(pipe_appender const&) = delete;
  pipe_appender& operator=(pipe_appender const&) = delete;
  ~pipe_appender() override;

  void close() override { closed = true; }

  /// Lines that were dropped since the process started.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return mDropped; }

protected:
  void append(log4cplus::spi::InternalLoggingEvent const& aEvent) override;

private:
  std::uint64_t mDropped = 0;
};

}
