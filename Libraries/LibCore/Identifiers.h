#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Ordinal.h>

#include <cstdint>

/// \file The identifier and counter types that several libraries share.

namespace lycheeseam {

/// A customer, which is charged for its requests and may have a prefix cache
/// scope of its own.
using workspace_id = identifier<struct workspace_tag>;

/// The name of a row in the table of routes.
using route_name = identifier<struct route_tag>;

/// The name of a row in the table of pools.
using pool_name = identifier<struct pool_tag>;

/// One backend server of a pool.
using backend_server_id = identifier<struct backend_server_tag>;

/// One instance of lycheeseamd.
using instance_id = identifier<struct instance_tag>;

/// A part of the site whose machines can fail together, such as a zone.
using failure_domain = identifier<struct failure_domain_tag>;

/// A model's name, as callers send it.
using model_name = identifier<struct model_tag>;

/// A version of a model's weights. Cached blocks of one version are never used
/// with another.
using weights_version = identifier<struct weights_version_tag>;

/// The version of a backend server's software. Versions have no order, and one
/// can't continue a stream that another began.
using software_version = identifier<struct software_version_tag>;

/// A request's id on all hops; unique in the fleet.
using request_id = identifier<struct request_tag>;

/// The value of a caller's Idempotency-Key header.
using idempotency_key = identifier<struct idempotency_tag>;

/// A position in the platform's log. The first record has offset 1; 0 stands
/// before it.
using log_offset = ordinal<struct log_offset_tag>;

/// The number of one run of a process, its start by its own time of day. It
/// tells runs apart. As clocks may jump, it doesn't tell which is the later
/// one.
using incarnation = ordinal<struct incarnation_tag>;

/// A table row's version: the log offset of the record that wrote the row, 0 if
/// there is no row.
using row_version = ordinal<struct row_version_tag>;

/// A position in one engine's stream of cache events.
using event_sequence = ordinal<struct event_sequence_tag>;

/// A fencing token: the log offset of the record that granted a lease. Engines
/// that check it refuse orders with a smaller number than the highest one that
/// they have received.
using fencing_number = ordinal<struct fencing_tag>;

/// A number of tokens; signed, because balances may be negative.
using token_count = std::int64_t;

}
