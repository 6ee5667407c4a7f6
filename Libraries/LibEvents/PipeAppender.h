#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <utility>

namespace lycheeseam {

/// Writes log lines to a pipe or a file, and drops those that would block.
class pipe_appender : public log4cplus::Appender
{
public:
  explicit pipe_appender(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  pipe_appender(pipe_appender const&) = delete;
  pipe_appender& operator=(pipe_appender const&) = delete;
  ~pipe_appender() override;

  void close() override { closed = true; }

  /// Takes the number of lines dropped since the last call.
  [[nodiscard]] std::uint64_t TakeDropped()
  {
    return std::exchange(mDropped, 0);
  }

protected:
  void append(log4cplus::spi::InternalLoggingEvent const& aEvent) override;

private:
  int mDescriptor;
  std::uint64_t mDropped = 0;
};

}
