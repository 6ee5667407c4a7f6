#include <LibCore/Verify.h>

#include <Bench/Decisions/PolicyKind.h>

namespace lycheeseam::bench {

std::string_view
PolicyName(policy_kind aKind)
{
  switch (aKind) {
    case policy_kind::RoundRobin:
      return "round-robin";
    case policy_kind::LeastLoaded:
      return "least-loaded";
    case policy_kind::Rendezvous:
      return "rendezvous";
    case policy_kind::Full:
      return "full";
    case policy_kind::FullNoEvents:
      return "full-no-events";
    case policy_kind::Oracle:
      return "oracle";
  }
  VERIFY(false);
  return "";
}

}
