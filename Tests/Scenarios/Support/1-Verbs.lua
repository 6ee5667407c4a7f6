-- Functions built on the runner's verbs: expect, wait_until, send and others.
-- Every wait has a bound, and no result depends on how long a step takes.

POLL_MS = 10
BOUND_MS = 8000

-- Marks a table as a list, so that an empty one is encoded as [] and not as {}.
function array(items)
  return setmetatable(items, { is_array = true })
end

function expect(condition, what)
  if not condition then
    error("expected: " .. what, 2)
  end
end

function expect_equal(seen, wanted, what)
  if seen ~= wanted then
    error(what .. ": expected " .. tostring(wanted) .. ", got " .. tostring(seen), 2)
  end
end

-- Polls a condition until it holds and returns its value; fails the scenario
-- after bound_ms.
function wait_until(what, condition, bound_ms)
  local deadline = now_ms() + (bound_ms or BOUND_MS)
  while true do
    local value = condition()
    if value then
      return value
    end
    if now_ms() > deadline then
      error("timed out waiting until " .. what, 2)
    end
    rest(POLL_MS)
  end
end

-- Polls a condition for duration_ms; fails the scenario as soon as it doesn't
-- hold.
function holds_for(what, duration_ms, condition)
  local deadline = now_ms() + duration_ms
  while now_ms() < deadline do
    if not condition() then
      error("no longer true: " .. what, 2)
    end
    rest(POLL_MS)
  end
end

-- Starts a program and waits until it listens on a port.
function start(name, program, port, arguments)
  start_process(name, program, arguments)
  wait_until(name .. " listens", function() return is_listening(port) end)
end

-- Sends a request and waits for the answer; its field json is the decoded body.
function send(request)
  local answer = finish(begin(request))
  answer.json = decode(answer.body)
  return answer
end

-- Sends requests at the same time and waits for all answers.
function send_all(requests)
  local calls = {}
  for index, request in ipairs(requests) do
    calls[index] = begin(request)
  end
  local answers = {}
  for index, call in ipairs(calls) do
    answers[index] = finish(call)
    answers[index].json = decode(answers[index].body)
  end
  return answers
end

-- The value of a header of an answer, or nil.
function header(answer, name)
  for line in answer.headers:gmatch("[^\r\n]+") do
    local key, value = line:match("^([^:]+):%s*(.*)$")
    if key and key:lower() == name:lower() then
      return value
    end
  end
  return nil
end

-- The decoded events of a streamed answer, and whether it contains [DONE].
function events_of(body)
  local events, done = {}, false
  for data in body:gmatch("data: ([^\n]*)\n\n") do
    if data == "[DONE]" then
      done = true
    else
      events[#events + 1] = decode(data)
    end
  end
  return events, done
end

-- The text of a streamed answer.
function text_of(body)
  local text = {}
  for _, event in ipairs((events_of(body))) do
    local choice = event.choices and event.choices[1]
    if choice then
      text[#text + 1] = choice.text or (choice.delta and choice.delta.content) or ""
    end
  end
  return table.concat(text)
end

-- The text of a stand-in engine's answer.
function expected_text(name, tokens)
  local text = {}
  for index = 0, tokens - 1 do
    text[#text + 1] = name .. "#" .. index .. " "
  end
  return table.concat(text)
end

-- Expects a complete streamed answer, in order, with the text that belongs to
-- the request of this name.
function expect_complete_stream(answer, name, tokens)
  expect_equal(answer.status, 200, "status of " .. name .. " " .. answer.body)
  expect_equal(answer.error, "", "end of " .. name)
  expect_equal(text_of(answer.body), expected_text(name, tokens), "text of " .. name)
  local events, done = events_of(answer.body)
  expect(done, name .. " ends with [DONE]")
  local usage = events[#events].usage
  expect(usage, name .. " has its usage in the last chunk")
  expect_equal(usage.completion_tokens, tokens, "tokens of " .. name)
end

-- Reads the metrics of a process from /metrics; keys are names with labels.
function counters(base)
  local values = {}
  local answer = send { url = base .. "/metrics" }
  for line in answer.body:gmatch("[^\n]+") do
    local name, value = line:match("^([^#].*) ([%d%.eE+-]+)$")
    if name then
      values[name] = tonumber(value)
    end
  end
  return values
end

-- The sum of a counter over all its labels.
function counter_sum(base, name)
  local sum = 0
  for key, value in pairs(counters(base)) do
    if key == name or key:sub(1, #name + 1) == name .. "{" then
      sum = sum + value
    end
  end
  return sum
end
