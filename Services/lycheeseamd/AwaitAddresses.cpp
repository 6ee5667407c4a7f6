#include "AwaitAddresses.h"

#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace lycheeseam {

namespace {

// Longer than a planned stop takes by default: the previous process may hold
// its addresses until its end.
constexpr std::chrono::seconds kMaxWait{ 15 };
constexpr std::chrono::milliseconds kRetryInterval{ 50 };

// Why this process can't listen at the address yet. Empty when it can, and for
// faults that don't pass, which the listener itself reports.
boost::system::error_code
PassingFault(boost::asio::io_context& aContext, endpoint const& aAddress)
{
  using tcp = boost::asio::ip::tcp;
  boost::system::error_code fault;
  tcp::endpoint const address{
    boost::asio::ip::make_address(aAddress.mAddress, fault), aAddress.mPort
  };
  tcp::acceptor acceptor{ aContext };
  if (!fault)
    acceptor.open(address.protocol(), fault);
  if (!fault)
    acceptor.set_option(tcp::acceptor::reuse_address{ true }, fault);
  if (!fault)
    acceptor.bind(address, fault);
  bool const mayPass = fault == boost::asio::error::address_in_use ||
                       fault == boost::system::errc::address_not_available;
  return mayPass ? fault : boost::system::error_code{};
}

/// An address that is in use, and the fault that shows it.
struct busy_address
{
  endpoint mAddress;
  boost::system::error_code mFault;
};

std::optional<busy_address>
FindBusy(std::span<endpoint const> aAddresses)
{
  boost::asio::io_context context;
  for (endpoint const& address : aAddresses) {
    if (boost::system::error_code const fault = PassingFault(context, address))
      return busy_address{ .mAddress = address, .mFault = fault };
  }
  return std::nullopt;
}

}

bool
AwaitAddresses(stop_signals const& aSignals,
               std::span<endpoint const> aAddresses)
{
  system_clock const clock;
  instant const end = clock.Now() + kMaxWait;
  bool isLogged = false;
  while (std::optional<busy_address> const busy = FindBusy(aAddresses)) {
    std::string const reason = busy->mFault.message();
    if (clock.Now() > end)
      throw error("can't listen on " + busy->mAddress.Text() + ": " + reason);
    if (!isLogged)
      LogEvent("address_in_use",
               { { "address", busy->mAddress.Text() }, { "fault", reason } });
    isLogged = true;
    if (aSignals.AwaitFor(kRetryInterval))
      return false;
  }
  return true;
}

}
