-- Functions that start the stand-ins and send requests to them.

HOST = "http://127.0.0.1:"

-- Starts an engine with flags of its program. Returns its name, port and URL.
function start_engine(name, flags)
  local port = flags and flags.port or free_port()
  local arguments = array { "--id=" .. name, "--port=" .. port }
  for key, value in pairs(flags or {}) do
    if key ~= "port" then
      arguments[#arguments + 1] = "--" .. key .. "=" .. tostring(value)
    end
  end
  start(name, "standin-engine", port, arguments)
  return { name = name, port = port, url = HOST .. port, flags = flags }
end

-- Starts a service. Returns its name, port and URL.
function start_service(name, port)
  port = port or free_port()
  start(name, "standin-service", port, array { "--id=" .. name, "--port=" .. port })
  return { name = name, port = port, url = HOST .. port }
end

-- Changes the settings of a running stand-in through /control.
function control(server, settings)
  local answer = send { url = server.url .. "/control", body = settings }
  expect_equal(answer.status, 200, "control of " .. server.name)
end

-- The counters of a stand-in.
function counts(server)
  return send({ url = server.url .. "/control/counts" }).json
end

-- How many times a stand-in ran the request of this identity.
function runs(server, identity)
  return counts(server).runs[identity] or 0
end

-- A chat request to a base URL; the engine's answer contains the name.
function chat(base, name, options)
  options = options or {}
  local prompt = (options.prompt or "") .. " [name:" .. name .. "]"
  return {
    url = base .. "/v1/chat/completions",
    headers = options.headers or {},
    timeout_ms = options.timeout_ms,
    connection = options.connection,
    body = {
      model = options.model or "tuk-tuk-7b",
      stream = options.stream ~= false,
      max_tokens = options.max_tokens or 8,
      messages = { { role = "user", content = prompt } },
    },
  }
end

-- Waits until a streamed call has received this many tokens.
function wait_for_tokens(call, tokens)
  wait_until(tokens .. " tokens are received", function()
    local _, seen = body_so_far(call):gsub("data: ", "")
    return seen >= tokens
  end)
end
