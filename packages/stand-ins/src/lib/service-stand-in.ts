import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './http-stand-in.js';

/**
 * Stands in for a plain service whose requests have a side effect. It counts the effects by the
 * `reference` in the body, or by the URL if there is none, so that a test sees a request that ran twice.
 */
export class ServiceStandIn extends HttpStandIn {
  /** Number of times each reference took effect. */
  readonly effects = new Map<string, number>();
  /** Time until a request takes effect, in milliseconds. */
  delayMs = 0;
  /** Number of next requests that take effect but whose connection is closed instead of answered. */
  lostAnswerCount = 0;
  /** Number of next requests that are refused with status 503 and marked as not run. */
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
