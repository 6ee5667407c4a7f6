#pragma once

#include <LibLimits/BudgetMessage.h>
#include <LibPeer/EncodedBody.h>

namespace lycheeseam {

/// Builds the table of a message about budgets.
encoded_body
EncodeBudgetMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                    budget_message const& aMessage);

}
