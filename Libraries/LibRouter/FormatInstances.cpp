#include <LibMembership/CallerAddresses.h>
#include <LibRouter/FormatInstances.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

std::string
FormatInstances(std::span<member const> aUsable,
                failure_domain const& aDomain,
                std::chrono::milliseconds aTimeToLive)
{
  // The seed of the order is fixed: all callers get the same body.
  std::vector<caller_address> const addresses =
    ChooseCallerAddresses(aUsable, aDomain, 0, caller_address_options{});
  nlohmann::json instances = nlohmann::json::array();
  for (caller_address const& address : addresses) {
    instances.push_back(
      { { "id", address.mInstance.Text() },
        { "address", address.mAddress.Text() },
        { "failure_domain", address.mFailureDomain.Text() } });
  }
  nlohmann::json const body{ { "instances", instances },
                             { "ttl_ms", aTimeToLive.count() } };
  return body.dump();
}

}
