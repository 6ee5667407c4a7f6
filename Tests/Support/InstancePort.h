#pragma once

#include <Tests/Support/FakeLog.h>

#include <memory>
#include <utility>

namespace lycheeseam {

/// An instance's connection to the fake_log. Drops answers after the instance
/// was destroyed, as when a process is killed.
class instance_port
{
public:
  explicit instance_port(fake_log& aLog)
    : mLog(aLog)
  {
  }

  /// Wraps a callback so that it does nothing once this port is destroyed.
  template<typename Callback>
  auto Guard(Callback aDone)
  {
    return [alive = std::weak_ptr<bool>{ mAlive },
            done = std::move(aDone)](auto const&... aResults) {
      if (!alive.expired())
        done(aResults...);
    };
  }

  void Append(log_record const& aRecord, append_callback aDone)
  {
    mLog.Append(aRecord, Guard(std::move(aDone)));
  }

  void Read(read_request const& aRequest, read_callback aDone)
  {
    mLog.Read(aRequest, Guard(std::move(aDone)));
  }

  void Offsets(range_callback aDone) { mLog.Offsets(Guard(std::move(aDone))); }

private:
  fake_log& mLog;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

}
