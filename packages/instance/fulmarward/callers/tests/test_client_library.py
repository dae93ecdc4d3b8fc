import unittest

import openai

from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.harness import make_team_key, start_fleet


class ClientLibraryTest(unittest.IsolatedAsyncioTestCase):
    async def test_openai_client_works_unchanged(self):
        async with (
            start_fleet() as fleet,
            openai.AsyncOpenAI(
                base_url=fleet.get_url("i1", "/v1"),
                api_key=make_team_key("folha"),
                max_retries=0,
            ) as client,
        ):
            await self._complete_chat(client)
            await self._stream_chat(client)
            await self._complete_text(client)
            await self._list_models(client)
            await self._check_errors(client)

    async def _complete_chat(self, client):
        prompt = "sunrise? [6 tokens]"
        answer = await client.chat.completions.create(
            model="lookup", messages=[{"role": "user", "content": prompt}]
        )
        expected = "".join(answer_tokens(f"user: {prompt}", 100, 24))
        self.assertEqual(answer.choices[0].message.content, expected)
        self.assertEqual(answer.choices[0].finish_reason, "stop")
        self.assertEqual(answer.usage.completion_tokens, 6)

    async def _stream_chat(self, client):
        prompt = "crew email [6 tokens]"
        stream = await client.chat.completions.create(
            model="lookup",
            messages=[{"role": "user", "content": prompt}],
            stream=True,
            stream_options={"include_usage": True},
        )
        parts = [part async for part in stream]
        text = "".join(
            part.choices[0].delta.content or "" for part in parts if part.choices
        )
        self.assertEqual(text, "".join(answer_tokens(f"user: {prompt}", 100, 24)))
        self.assertEqual(parts[-1].usage.completion_tokens, 6)

    async def _complete_text(self, client):
        answer = await client.completions.create(
            model="summary", prompt="tomorrow", max_tokens=3
        )
        expected = "".join(answer_tokens("tomorrow", 3, 24))
        self.assertEqual(answer.choices[0].text, expected)
        self.assertEqual(answer.choices[0].finish_reason, "length")

    async def _list_models(self, client):
        names = [model.id async for model in await client.models.list()]
        self.assertEqual(names, ["lookup", "summary", "rewrite", "chain"])

    async def _check_errors(self, client):
        with self.assertRaises(openai.NotFoundError) as caught:
            await client.completions.create(model="nope", prompt="x")
        self.assertEqual(caught.exception.code, "pipeline_unknown")
        with self.assertRaises(openai.AuthenticationError):
            await client.with_options(api_key="wrong").models.list()
