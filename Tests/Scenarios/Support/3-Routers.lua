-- Functions that start the platform and routers, and write configuration rows.

MODEL = "tuk-tuk-7b"

-- The current versions of the rows, by kind and name.
local versions = {}

function start_platform(name)
  local port = free_port()
  start(name or "platform", "standin-platform", port, array { "--port=" .. port })
  return { name = name or "platform", port = port, url = HOST .. port }
end

-- Replaces the platform's injected faults; without a table, clears them.
function platform_faults(platform, faults)
  local answer = send {
    url = platform.url .. "/control/faults", method = "PUT", body = faults or {},
  }
  expect_equal(answer.status, 200, "control of the platform")
end

-- The log does not answer during an outage.
function start_log_outage(platform) platform_faults(platform, { outage = true }) end
function end_log_outage(platform) platform_faults(platform) end

-- Appends a record to the log; returns its offset.
function append(platform, record)
  local answer = send { url = platform.url .. "/v1/log/records", body = encode(record) }
  expect_equal(answer.status, 200, "append to the log")
  return answer.json.offset
end

-- A change of a row; row is the new content, or nil to delete it.
function change(kind, name, row)
  local base = versions[kind .. "/" .. name] or 0
  return { [kind] = { name = name, base = base, row = row } }
end

-- Writes changes as one proposal, as an operator's tool does; returns its
-- offset.
function put_rows(platform, changes)
  local tail = send({ url = platform.url .. "/v1/log/offsets" }).json.tail
  local record = { config_proposal = {
    origin = {
      proposal = "scenario-" .. tail,
      instance = "scenario",
      incarnation = 1,
      last_offset = tail + 1000,
    },
    operator = "scenario",
    changes = array(changes),
  } }
  local offset = append(platform, record)
  for _, item in ipairs(changes) do
    for kind, row in pairs(item) do
      versions[kind .. "/" .. row.name] = offset
    end
  end
  return offset
end

function workspace_row(name, options)
  options = options or {}
  return change("workspace", name, {
    name = name,
    rate_tokens_per_s = options.rate or 1000000,
    burst_tokens = options.burst or 10000000,
    weight = options.weight or 1,
  })
end

-- A caller's key; the platform stores only its digest.
function key_row(key, workspace)
  return change("key", sha256(key), { digest = sha256(key), workspace = workspace })
end

function delete_key(key)
  return change("key", sha256(key), nil)
end

function pool_row(name, kind, servers, options)
  options = options or {}
  local rows = {}
  for index, server in ipairs(servers) do
    rows[index] = {
      id = server.name,
      address = "127.0.0.1:" .. (server.through or server.port),
      failure_domain = server.domain or "domain-1",
      fencing = server.fencing,
    }
  end
  return change("pool", name, {
    name = name,
    kind = kind,
    servers = array(rows),
    model = kind == "model" and MODEL or nil,
    weights = kind == "model" and "v1" or nil,
    max_outstanding = options.max_outstanding or 64,
    max_weight_loads = options.max_weight_loads,
  })
end

function route_row(name, prefix, pool, options)
  local row = { name = name, path_prefix = prefix, pool = pool }
  for key, value in pairs(options or {}) do
    row[key] = value
  end
  return change("route", name, row)
end

-- Starts a router. options: ports, domain, peers (a list of routers), settings
-- (further fields), platform_port (if not the platform's own, such as a relay).
function start_router(name, platform, options)
  options = options or {}
  local ports = options.ports
    or { callers = free_port(), admin = free_port(), peers = free_port() }
  local peers = {}
  for index, peer in ipairs(options.peers or {}) do
    peers[index] = "127.0.0.1:" .. (peer.through or peer.ports.peers)
  end
  local config = {
    instance = name,
    failure_domain = options.domain or "domain-1",
    listen = {
      callers = "127.0.0.1:" .. ports.callers,
      admin = "127.0.0.1:" .. ports.admin,
      peers = "127.0.0.1:" .. ports.peers,
    },
    platform = "127.0.0.1:" .. (options.platform_port or platform.port),
    peers = array(peers),
    threads = { front_workers = 2, upstream_loops = 1 },
    operators = array { { name = "scenario", key_digest = sha256(OPERATOR_KEY) } },
  }
  for key, value in pairs(options.settings or {}) do
    config[key] = value
  end
  start(name, "lycheeseamd", ports.callers, array { "--config=" .. settings(name, config) })
  return {
    name = name, ports = ports, port = ports.callers,
    url = HOST .. ports.callers, admin = HOST .. ports.admin, options = options,
  }
end

OPERATOR_KEY = "scenario-operator-key"

-- Adds a caller's key to headers.
function with_key(key, headers)
  headers = headers or {}
  headers["Authorization"] = "Bearer " .. key
  return headers
end

function router_request(router, path, key, options)
  options = options or {}
  return {
    url = router.url .. path,
    method = options.method,
    headers = with_key(key, options.headers),
    body = options.body,
    connection = options.connection,
    timeout_ms = options.timeout_ms,
  }
end

function router_chat(router, name, key, options)
  options = options or {}
  options.headers = with_key(key, options.headers)
  options.model = options.model or MODEL
  return chat(router.url, name, options)
end

-- A booking request with an Idempotency-Key, or without one if options.no_key.
function booking(router, id, key, options)
  options = options or {}
  return {
    url = router.url .. "/bookings",
    headers = with_key(key, { ["Idempotency-Key"] = options.no_key and nil or id }),
    body = { id = id },
    connection = options.connection,
    timeout_ms = options.timeout_ms,
  }
end

-- Waits until a router serves a path for a key, which needs their rows.
function wait_until_serves(router, path, key)
  wait_until(router.name .. " serves " .. path, function()
    return send(router_request(router, path, key)).status == 200
  end)
end

-- Writes the rows that most scenarios use: a chat route that resumes on another
-- server, lookups, and bookings that run at most once, for one workspace with
-- one key.
function put_default_rows(platform, engines, services, options)
  options = options or {}
  local rows = {
    workspace_row("shop-1"),
    key_row("key-1", "shop-1"),
  }
  if engines then
    rows[#rows + 1] = pool_row("assistant", "model", engines, options.pool)
    rows[#rows + 1] = route_row("chat", "/v1/", "assistant", {
      model = MODEL, resume = options.resume or "other_server",
      first_byte_timeout_ms = options.first_byte_timeout_ms,
    })
  end
  if services then
    rows[#rows + 1] = pool_row("ledger", "service", services, options.pool)
    rows[#rows + 1] = route_row("stock", "/stock", "ledger", {
      first_byte_timeout_ms = options.lookup_timeout_ms,
    })
    rows[#rows + 1] = route_row("bookings", "/bookings", "ledger", {
      idempotency = "non_idempotent",
    })
  end
  return put_rows(platform, rows)
end

-- Waits until every budget slot has a holder, and then long enough for the
-- holders to read the log while in contact with each other. An outage of the
-- log must not begin before that.
function wait_until_fleet_runs(router)
  wait_until("all budget slots are held", function()
    local answer = send({
      url = router.admin .. "/v1/status",
      headers = { ["Authorization"] = "Bearer " .. OPERATOR_KEY },
    })
    local slots = answer.body:match('"slots":(%b{})') or ""
    local _, held = slots:gsub('"%d+":', "")
    return held == 8
  end)
  rest(1500)
end
