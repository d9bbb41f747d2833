import { ConfigFold, ConfigView, PlacementView, planPlacement } from '@chervilseam/decisions';
import { HttpLog } from '@chervilseam/ports';
import { Command, Option } from 'clipanion';
import { ExitCode } from '../exit-code.js';
import { planChanges } from '../plan-changes.js';
import { readDomain } from '../read-domain.js';
import { FileCommand } from './file-command.js';

/** Timeout of calls to the log, in milliseconds. */
const CALL_TIMEOUT_MS = 5_000;
/** Maximum number of moves to plan for one failure domain. */
const MOVE_COUNT_MAX = 1_000;

/** `chervilseam plan --dry-run FILE…`: shows the effect of files on the placement of models. */
export class PlanCommand extends FileCommand {
  static override paths = [['plan']];

  static override usage = Command.Usage({
    description: 'Shows the loads and unloads that files would cause; publishes nothing.',
  });

  /** Has no effect: the command never publishes. */
  isDryRun = Option.Boolean('--dry-run', true, { description: 'always on: nothing is published' });

  protected override async run(): Promise<number> {
    const objects = await this.readFiles();
    if (!objects) return ExitCode.badInput;
    const log = new HttpLog(this.logUrl, CALL_TIMEOUT_MS);
    try {
      return await this.withFollower(async ({ fold }) => {
        const changes = planChanges(fold.objects, objects, false);
        const changed = ConfigFold.fromSnapshot(fold.snapshot()) as ConfigFold;
        const record = { type: 'config', id: 'dry-run', author: 'dry-run', changes };
        const decision = changed.apply(changed.offset + 1, record);
        if (decision && !decision.isAccepted) {
          this.context.stderr.write(
            `chervilseam: the change would be rejected: ${decision.reason}\n`,
          );
          return ExitCode.badInput;
        }
        await this.#printMoves(log, new ConfigView(changed.offset, changed.objects));
        return ExitCode.ok;
      });
    } finally {
      await log.close();
    }
  }

  /** Prints, for each failure domain, the planned moves and the models that do not fit. */
  async #printMoves(log: HttpLog, view: ConfigView): Promise<void> {
    const domains = [...new Set([...view.endpoints.values()].map((it) => it.failureDomain))].sort();
    const rows = await Promise.all(
      domains.map(async (failureDomain) => {
        const ledger = await readDomain(log, failureDomain);
        const placement = new PlacementView(view, ledger, failureDomain);
        const plan = planPlacement(placement.input(MOVE_COUNT_MAX, () => true));
        const moves = plan.moves.map(({ engine, load, unload, gain, reason }) => ({
          failureDomain,
          engine,
          load,
          unload: unload.join(' '),
          gain: Math.round(gain),
          reason,
        }));
        const shortfalls = plan.shortfalls.map(({ model, bytes }) => ({
          failureDomain,
          engine: '',
          load: model,
          unload: '',
          gain: 0,
          reason: `no room: ${bytes} bytes are short`,
        }));
        return [...moves, ...shortfalls];
      }),
    );
    this.print(rows.flat());
  }
}
