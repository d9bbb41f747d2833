import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './http-stand-in.js';

/** A plain service that counts its effects by the reference in each request's body. */
export class ServiceStandIn extends HttpStandIn {
  /** How many times each reference took effect. */
  readonly effects = new Map<string, number>();
  /** Time that an effect takes, in milliseconds. */
  delayMs = 0;
  /** Takes effect, then cuts the connection in place of the next answers; a count. */
  lostAnswerCount = 0;
  /** Refuses the next requests and says that they did not run; a count. */
  refusalCount = 0;

  constructor() {
    super();
    this.route('ALL', '/*', async ({ request, response }) => {
      const attempt = String(request.headers['x-chervilseam-attempt'] ?? '');
      if (this.refusalCount > 0) {
        this.refusalCount -= 1;
        HttpStandIn.reply(response, 503, { error: 'busy' }, { 'x-not-run': 'true' });
        return;
      }
      const { reference } = await HttpStandIn.readJson<{ reference?: string }>(request);
      const key = reference ?? request.url ?? '/';
      await sleep(this.delayMs);
      const count = (this.effects.get(key) ?? 0) + 1;
      this.effects.set(key, count);
      if (this.lostAnswerCount > 0) {
        this.lostAnswerCount -= 1;
        response.destroy();
        return;
      }
      const headers = { 'x-chervilseam-attempt': attempt };
      HttpStandIn.reply(response, 200, { reference: key, effect: count }, headers);
    });
  }
}
