#pragma once

#include <LibFleet/PeerRegistry.h>
#include <LibFleet/ReportUpdate.h>
#include <LibPeer/FleetReport.h>
#include <LibPeer/FleetRoster.h>

#include <span>

/// \file What an instance tells one of its peers, for itself and for those
/// that it speaks for.

namespace lycheeseam {

/// The report to a peer, or of scope Root to any root. aOwn tells of this
/// instance alone.
fleet_report
ComposeReport(instant aNow,
              peer_book const& aBook,
              fleet_report const& aOwn,
              std::span<report_news const> aNews,
              report_scope aScope,
              instance_id const& aTo);

/// Who lives among those that such a report speaks for.
fleet_roster
ComposeRoster(instant aNow,
              peer_book const& aBook,
              roster_entry const& aOwn,
              report_scope aScope,
              instance_id const& aTo);

}
