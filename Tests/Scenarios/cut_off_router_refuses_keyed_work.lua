-- A router is cut off from the log and from its peers: a key may have been
-- withdrawn elsewhere, so that keyed work is refused as "not run" within
-- seconds; once it is connected again it serves, without the key.
local platform = start_platform()
local service = start_service("service-1")
put_usual_rows(platform, nil, { service })
put_rows(platform, { key_row("key-2", "shop-1") })
local way = relay("log-way", platform.port)
local whole = start_router("router-1", platform)
local through = relay("peer-way", whole.ports.peers)
local cut_off = start_router("router-2", platform, {
  platform_port = way, peers = { { through = through } },
  settings = { heartbeat = { interval_ms = 100, timeout_ms = 400, freshness_bound_ms = 1000 } },
})
wait_until_serves(whole, "/stock", "key-1")
wait_until_serves(cut_off, "/stock", "key-1")

cut("log-way")
cut("peer-way")
put_rows(platform, { delete_key("key-1") })
for _, key in ipairs { "key-1", "key-2" } do
  local refused = wait_until(key .. " is refused at the router that is cut off", function()
    local answer = send(ask(cut_off, "/stock", key))
    return answer.status ~= 200 and answer
  end)
  expect_equal(header(refused, "Lycheeseam-Verdict"), "not_run", "verdict")
end
expect_equal(send(ask(whole, "/stock", "key-2")).status, 200, "status at the other router")
heal("log-way")
heal("peer-way")
wait_until_serves(cut_off, "/stock", "key-2")
expect_equal(send(ask(cut_off, "/stock", "key-1")).status, 401, "status of the withdrawn key")
