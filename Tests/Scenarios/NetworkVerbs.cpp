#include "Verbs.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>

namespace lycheeseam {

namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

/// free_port(): a loopback port on which no process listens, another one with
/// each call.
json
FreePort(scenario& aScenario, json const&)
{
  boost::asio::io_context context;
  for (;;) {
    tcp::acceptor const acceptor{
      context, { boost::asio::ip::address_v4::loopback(), 0 }
    };
    std::uint16_t const port = acceptor.local_endpoint().port();
    if (aScenario.TakePort(port))
      return port;
  }
}

/// is_listening(port): whether the port accepts a connection.
json
IsListening(scenario&, json const& aArguments)
{
  boost::asio::io_context context;
  tcp::socket socket{ context };
  boost::system::error_code error;
  socket.connect({ boost::asio::ip::address_v4::loopback(),
                   aArguments.at(0).get<std::uint16_t>() },
                 error);
  return !error;
}

/// relay(name, port): starts a relay to a port, which can be cut; returns the
/// relay's own port.
json
Relay(scenario& aScenario, json const& aArguments)
{
  return aScenario.Relays().Add(aArguments.at(0).get<std::string>(),
                                aArguments.at(1).get<std::uint16_t>());
}

template<relay_action Action>
json
Act(scenario& aScenario, json const& aArguments)
{
  aScenario.Relays().Act(aArguments.at(0).get<std::string>(), Action);
  return nullptr;
}

constexpr std::array kVerbs{
  scenario_verb{ "free_port", &FreePort },
  scenario_verb{ "is_listening", &IsListening },
  scenario_verb{ "relay", &Relay },
  scenario_verb{ "cut", &Act<relay_action::Cut> },
  scenario_verb{ "heal", &Act<relay_action::Heal> },
  scenario_verb{ "reset_connections", &Act<relay_action::Reset> },
  scenario_verb{ "lose_next_answer", &Act<relay_action::LoseNextAnswer> },
};

}

std::span<scenario_verb const>
NetworkVerbs()
{
  return kVerbs;
}

}
