import { Deployment } from '@chervilseam/embedded';

const GIGABYTE = 1e9;
const residents = { 'model/die-assistant@1': 16 * GIGABYTE, 'adapter/radiatori': 0.05 * GIGABYTE };
const configToml = `
[[model]]
name = "die-assistant"
labels = { tier = "resident" }
weightsBytes = 16_000_000_000

[[adapter]]
name = "radiatori"
model = "die-assistant"
weightsBytes = 50_000_000

[[service]]
name = "order-desk"
labels = { effects = "orders" }

[[policy]]
name = "orders-run-once"
services = { equal = { effects = "orders" } }
nonIdempotent = true
deadlineMs = 5_000

[[policy]]
name = "resident-models"
models = { equal = { tier = "resident" } }
resident = true
`;

type Print = (line: string) => void;

const messages = [{ role: 'user', content: 'The die scores the dough on the left side.' }];

async function chat(deployment: Deployment, print: Print): Promise<void> {
  const body = { model: 'die-assistant:radiatori', messages, max_tokens: 6 };
  const response = await deployment.call('/v1/chat/completions', { body, instance: 'instance-3' });
  const { choices } = (await response.json()) as { choices: { message: { content: string } }[] };
  const outcome = response.headers.get('chervilseam-outcome');
  print(`chat answer (${response.status}, ${outcome}): ${choices[0].message.content}`);
}

async function readTokens(response: Response): Promise<string[]> {
  const text = await response.text();
  const events = text.split('\n\n').filter((event) => event.startsWith('data: {'));
  const contents = events.map((event) => {
    const { choices } = JSON.parse(event.slice('data: '.length)) as {
      choices: { delta: { content?: string } }[];
    };
    return choices[0].delta.content ?? '';
  });
  return contents.filter((content) => content !== '');
}

async function stream(deployment: Deployment, print: Print): Promise<void> {
  const body = { model: 'die-assistant', messages, max_tokens: 30, stream: true };
  const response = await deployment.call('/v1/chat/completions', { body });
  const tokens = await readTokens(response);
  print(`stream: ${tokens.length} tokens, last "${tokens.at(-1)?.trim()}"`);
}

async function order(deployment: Deployment, print: Print): Promise<void> {
  const options = {
    body: { reference: 'order-4711', dies: 2 },
    headers: { 'idempotency-key': 'order-4711' },
  };
  const path = '/services/order-desk/orders';
  const first = await deployment.call(path, { ...options, instance: 'instance-1' });
  const second = await deployment.call(path, { ...options, instance: 'instance-2' });
  print(`order, first time (${first.status}): ${await first.text()}`);
  print(`order, same key sent to another instance (${second.status}): ${await second.text()}`);
  const effects = deployment.services.get('desk-1')?.effects.get('order-4711');
  print(`the order took effect ${effects} time(s)`);
}

async function killMidStream(deployment: Deployment, print: Print): Promise<void> {
  const body = { model: 'die-assistant', messages, max_tokens: 400, stream: true };
  const reading = deployment.call('/v1/chat/completions', { body }).then(readTokens);
  await Deployment.sleep(300);
  const busy = [...deployment.engines].find(([, engine]) => engine.runningCount > 0);
  busy?.[1].kill();
  const tokens = await reading;
  const isGapless = tokens.every((token, index) => token.trim().endsWith(`.${index}`));
  print(
    `killed ${busy?.[0]} mid-stream: ${tokens.length} tokens, none lost or duplicated: ${isGapless}`,
  );
}

/**
 * Starts three daemons with stand-ins and demonstrates the main functions over real HTTP.
 *
 * @param print - called with each line of output
 * @returns the deployment, still serving
 */
export async function runDemo(print: Print): Promise<Deployment> {
  const deployment = await Deployment.start({
    instanceCount: 3,
    domainCount: 3,
    configToml,
    engines: [
      { name: 'engine-1', domain: 0, engine: { residents } },
      { name: 'engine-2', domain: 1, engine: { residents } },
    ],
    services: [{ name: 'desk-1', domain: 2, service: 'order-desk' }],
  });
  print('three daemons are serving on loopback');
  await chat(deployment, print);
  await stream(deployment, print);
  await order(deployment, print);
  await killMidStream(deployment, print);
  return deployment;
}
