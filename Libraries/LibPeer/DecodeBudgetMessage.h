#pragma once

#include <LibLimits/BudgetMessage.h>

#include <PeerMessage_generated.h>

namespace lycheeseam {

/// Each decodes a verified table into its message.
budget_message
DecodeBudgetMessage(wire::TokenRequest const& aTable);
budget_message
DecodeBudgetMessage(wire::TokenGrant const& aTable);
budget_message
DecodeBudgetMessage(wire::TokenRefund const& aTable);
budget_message
DecodeBudgetMessage(wire::TokenReport const& aTable);
budget_message
DecodeBudgetMessage(wire::StandingProbe const& aTable);
budget_message
DecodeBudgetMessage(wire::StandingWord const& aTable);

}
