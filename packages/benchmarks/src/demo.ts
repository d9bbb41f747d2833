import { Deployment } from '@chervilseam/embedded';
import { runDemo } from './lib/run-demo.js';

const isKept = process.argv.includes('--keep');
const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const deployment: Deployment = await runDemo(say);
if (isKept) {
  say('\nStill serving; try:');
  say(
    `curl -N ${deployment.callerUrl()}/v1/chat/completions -H "authorization: Bearer ${deployment.callerKey}"` +
      ` -d '{"model":"die-assistant","messages":[{"role":"user","content":"hello"}],"stream":true}'`,
  );
} else {
  deployment.stop();
}
