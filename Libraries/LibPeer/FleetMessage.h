#pragma once

#include <LibPeer/FleetReport.h>
#include <LibPeer/FleetRoster.h>
#include <LibPeer/TopicRelay.h>

#include <variant>

namespace lycheeseam {

/// Any message that is only sent between instances whose state lies in the
/// platform's store.
using fleet_message = std::variant<fleet_report, topic_relay, fleet_roster>;

}
