#pragma once

#include <LibLimits/BudgetMessage.h>
#include <LibPeer/BlockMessage.h>
#include <LibPeer/DrainNotice.h>
#include <LibPeer/FleetMessage.h>
#include <LibPeer/KeyWithdrawal.h>
#include <LibPeer/LogRelay.h>
#include <LibPeer/PeerHeartbeat.h>
#include <LibPeer/PeerHello.h>
#include <LibPeer/PoisonNotice.h>
#include <LibPeer/SnapshotAnswer.h>
#include <LibPeer/SnapshotRequest.h>

#include <variant>

namespace lycheeseam {

/// Any message between instances.
using peer_message = std::variant<peer_hello,
                                  peer_heartbeat,
                                  snapshot_request,
                                  snapshot_answer,
                                  log_relay,
                                  key_withdrawal,
                                  poison_notice,
                                  drain_notice,
                                  budget_message,
                                  block_message,
                                  fleet_message>;

}
