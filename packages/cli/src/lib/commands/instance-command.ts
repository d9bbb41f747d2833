import { Option } from 'clipanion';
import { request } from 'undici';
import verror from 'verror';
import { BaseCommand } from './base-command.js';

/** What commands share that speak to an instance. */
export abstract class InstanceCommand extends BaseCommand {
  instance = Option.String('--instance', process.env.CHERVILSEAM_INSTANCE ?? '', {
    description: 'operator address of an instance, as http://IP:PORT; also CHERVILSEAM_INSTANCE',
  });

  /**
   * Asks the instance.
   *
   * @param method - HTTP method
   * @param path - page or action
   * @param body - body of an action
   * @returns the answer
   * @throws VError named `InstanceError` for any status but 200
   */
  protected async ask<T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<T> {
    const key = process.env.CHERVILSEAM_OPERATOR_KEY ?? '';
    const answer = await request(`${this.instance}/${path}`, {
      method,
      headers: { authorization: `Bearer ${key}` },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const value = (await answer.body.json()) as T & { error?: string };
    if (answer.statusCode === 200) return value;
    const text = value.error ?? '';
    const status = answer.statusCode;
    throw new verror.VError({ name: 'InstanceError' }, 'the instance said %d %s', status, text);
  }
}
