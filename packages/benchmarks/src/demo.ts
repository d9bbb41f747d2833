import { Deployment } from '@chervilseam/embedded';
import { runDemo } from './lib/run-demo.js';

const keepsServing = process.argv.includes('--keep');
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const deployment: Deployment = await runDemo(print);
if (keepsServing) {
  print('\nStill serving; try this command:');
  print(
    `curl -N ${deployment.callerUrl()}/v1/chat/completions -H "authorization: Bearer ${deployment.callerKey}"` +
      ` -d '{"model":"die-assistant","messages":[{"role":"user","content":"hello"}],"stream":true}'`,
  );
} else {
  deployment.stop();
}
