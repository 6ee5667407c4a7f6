#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Ordinal.h>

#include <cstdint>

/// \file The names and counters that cross package borders.

namespace lycheeseam {

/// A customer: who pays for a request and whose cache scope it has.
using workspace_id = identifier<struct workspace_tag>;

/// A row of the table of routes.
using route_name = identifier<struct route_tag>;

/// A row of the table of pools.
using pool_name = identifier<struct pool_tag>;

/// One backend server of a pool.
using backend_server_id = identifier<struct backend_server_tag>;

/// One entry instance that runs lycheeseamd.
using instance_id = identifier<struct instance_tag>;

/// A part of the site that fails as one.
using failure_domain = identifier<struct failure_domain_tag>;

/// A model as callers name it.
using model_name = identifier<struct model_tag>;

/// A version of a model's weights; cached blocks never outlive it.
using weights_version = identifier<struct weights_version_tag>;

/// A request's identity over all hops; unique for the fleet.
using request_id = identifier<struct request_tag>;

/// A caller's Idempotency-Key.
using idempotency_key = identifier<struct idempotency_tag>;

/// A position in the platform's log; the first record has offset 1.
using log_offset = ordinal<struct log_offset_tag>;

/// One life of a process; a restart has a larger one.
using incarnation = ordinal<struct incarnation_tag>;

/// A row's version: the offset of the record that wrote it, 0 for no row.
using row_version = ordinal<struct row_version_tag>;

/// A position in one engine's stream of cache events.
using event_sequence = ordinal<struct event_sequence_tag>;

/// Proves to an engine that an order is the newest: the offset of the record
/// that granted the lease.
using fencing_number = ordinal<struct fencing_tag>;

/// A number of tokens; signed, since balances may go below zero.
using token_count = std::int64_t;

}
