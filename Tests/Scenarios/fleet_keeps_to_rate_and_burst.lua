-- One workspace requests many times its rate through three routers. Together
-- they must admit no more than its burst plus its rate, and refuse as "not
-- run".
local platform = start_platform()
local engine = start_engine("engine-1", { tokens_per_second = 2000, slowdown_per_stream = 0 })
local service = start_service("service-1")
put_default_rows(platform, { engine }, { service })
local RATE, BURST = 100, 1000
put_rows(platform, { workspace_row("greedy", { rate = RATE, burst = BURST }), key_row("key-greedy", "greedy") })
local routers = {}
for index = 1, 3 do
  routers[index] = start_router("router-" .. index, platform, { peers = array { routers[index - 1] } })
end
for _, router in ipairs(routers) do
  wait_until_serves(router, "/stock", "key-1")
end
local started = now_ms()
local used_tokens, refused = 0, 0
for round = 1, 3 do
  local requests = {}
  for index = 1, 30 do
    requests[index] = router_chat(routers[index % 3 + 1], "greedy-" .. round .. "-" .. index,
      "key-greedy", { max_tokens = 50, stream = false })
  end
  for _, answer in ipairs(send_all(requests)) do
    if answer.status == 200 then
      used_tokens = used_tokens + answer.json.usage.total_tokens
    else
      refused = refused + 1
      expect_equal(answer.status, 429, "status of a refusal " .. answer.body)
      expect_equal(header(answer, "Lycheeseam-Verdict"), "not_run", "verdict of a refusal")
    end
  end
end
local seconds = (now_ms() - started) / 1000
expect(used_tokens <= BURST + RATE * seconds, "usage is at most burst plus rate, not " .. used_tokens .. " tokens in " .. seconds .. " s")
expect(refused > 0, "at least one request is refused")
expect(used_tokens > 0, "at least one request is served")
