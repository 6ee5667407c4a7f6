#pragma once

#include <LibRecords/Checkpoint.h>
#include <LibRecords/ConfigProposal.h>
#include <LibRecords/LeaseGrant.h>
#include <LibRecords/NoOperation.h>
#include <LibRecords/RequestClaimBatch.h>
#include <LibRecords/RequestOutcomeBatch.h>
#include <LibRecords/SlotClaim.h>

#include <variant>

namespace lycheeseam {

/// A record of any type in the platform's log.
using log_record = std::variant<config_proposal,
                                slot_claim,
                                request_claim_batch,
                                request_outcome_batch,
                                lease_grant,
                                no_operation,
                                checkpoint>;

}
