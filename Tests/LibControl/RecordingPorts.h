#pragma once

#include <LibControl/ControlPorts.h>

#include <vector>

namespace lycheeseam {

/// Control ports that record the messages sent, for tests to check.
struct recording_ports
{
  std::vector<front_message> mFront;
  std::vector<upstream_command> mUpstream;

  void PostFront(front_message aMessage)
  {
    mFront.push_back(std::move(aMessage));
  }

  void PostUpstream(upstream_command aCommand)
  {
    mUpstream.push_back(std::move(aCommand));
  }
};

}
