import { Option } from 'clipanion';
import { request } from 'undici';
import verror from 'verror';
import { BaseCommand } from './base-command.js';

/** Base of the commands that send a request to an instance. */
export abstract class InstanceCommand extends BaseCommand {
  instance = Option.String('--instance', process.env.CHERVILSEAM_INSTANCE ?? '', {
    description:
      'URL of the operator port of an instance, http://IP:PORT; default: the environment variable CHERVILSEAM_INSTANCE',
  });

  /**
   * Sends a request to the operator port of the instance, with the key in the environment variable
   * `CHERVILSEAM_OPERATOR_KEY`.
   *
   * @param method - HTTP method
   * @param path - path of the URL, without a leading slash
   * @param body - value to send as JSON, if any
   * @returns the JSON value that the instance answered
   * @throws VError named `InstanceError` for any status but 200
   */
  protected async callInstance<T>(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<T> {
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
    throw new verror.VError(
      { name: 'InstanceError' },
      'the instance answered with status %d: %s',
      status,
      text,
    );
  }
}
