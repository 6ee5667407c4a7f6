#pragma once

#include "Relay.h"
#include "RelayAction.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace lycheeseam {

/// The thread on which all relays of a scenario run.
class relay_thread
{
public:
  relay_thread();
  ~relay_thread();
  relay_thread(relay_thread const&) = delete;
  relay_thread& operator=(relay_thread const&) = delete;

  /// Adds a relay to a target port; returns the relay's own port.
  std::uint16_t Add(std::string_view aName, std::uint16_t aTargetPort);

  /// Applies an action to a relay before it returns. Throws scenario_failure if
  /// there is no relay of this name.
  void Act(std::string_view aName, relay_action aAction);

private:
  boost::asio::io_context mContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::map<std::string, std::shared_ptr<relay>, std::less<>> mRelays;
  std::thread mThread;
};

}
