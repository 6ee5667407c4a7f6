-- A router can't reach the log or its peers. A key may have been withdrawn in
-- the meantime, so it must refuse requests with keys as "not run" within
-- seconds. Once it is connected again, it serves other keys but not the
-- withdrawn one.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
put_rows(platform, { key_row("key-2", "shop-1") })
local platform_relay_port = relay("log-way", platform.port)
local connected = start_router("router-1", platform)
local peer_relay_port = relay("peer-way", connected.ports.peers)
local disconnected = start_router("router-2", platform, {
  platform_port = platform_relay_port, peers = { { through = peer_relay_port } },
  settings = { heartbeat = { interval_ms = 100, timeout_ms = 400, freshness_bound_ms = 1000 } },
})
wait_until_serves(connected, "/stock", "key-1")
wait_until_serves(disconnected, "/stock", "key-1")

cut("log-way")
cut("peer-way")
put_rows(platform, { delete_key("key-1") })
for _, key in ipairs { "key-1", "key-2" } do
  local refused = wait_until(key .. " is refused at the disconnected router", function()
    local answer = send(router_request(disconnected, "/stock", key))
    return answer.status ~= 200 and answer
  end)
  expect_equal(header(refused, "Lycheeseam-Verdict"), "not_run", "verdict")
end
expect_equal(send(router_request(connected, "/stock", "key-2")).status, 200, "status at the other router")
heal("log-way")
heal("peer-way")
wait_until_serves(disconnected, "/stock", "key-2")
expect_equal(send(router_request(disconnected, "/stock", "key-1")).status, 401, "status of the withdrawn key")
