-- A key is withdrawn while its caller stays connected. Within 5 s it must be
-- refused on the same connection; other keys keep working.
local platform = start_platform()
local service = start_service("service-1")
put_default_rows(platform, nil, { service })
put_rows(platform, { key_row("key-2", "shop-1") })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")
wait_until_serves(router, "/stock", "key-2")
local function lookup(key)
  -- Pistache closes the connection unless the request has this header.
  local headers = { Connection = "keep-alive" }
  return send(router_request(router, "/stock", key, { connection = "open", headers = headers }))
end
lookup("key-1")
local again = lookup("key-1")
expect_equal(again.status, 200, "status before the withdrawal")
expect_equal(again.new_connections, 0, "new connections of the second lookup")
put_rows(platform, { delete_key("key-1") })
local refused = wait_until("the key is refused", function()
  local answer = lookup("key-1")
  return answer.status ~= 200 and answer
end, 5000)
expect_equal(refused.status, 401, "status after the withdrawal")
expect_equal(refused.new_connections, 0, "new connections of the refused lookup")
expect_equal(header(refused, "Lycheeseam-Verdict"), "not_run", "verdict")
expect_equal(lookup("key-2").status, 200, "status of the other key")
